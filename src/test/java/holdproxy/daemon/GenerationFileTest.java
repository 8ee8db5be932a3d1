package holdproxy.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.input.BadInput;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GenerationFileTest {
    @TempDir Path folder;

    @Test
    void generationGrowsWhenTheWallClockGoesBack() {
        assertEquals(5000, GenerationFile.next(folder, 5000));
        assertEquals(5001, GenerationFile.next(folder, 1000));
        assertEquals(9000, GenerationFile.next(folder, 9000));
    }

    @Test
    void errorsNameTheFileThatCannotBeReadOrWritten() throws Exception {
        Files.writeString(folder.resolve("life"), "12x");
        String said =
                assertThrows(BadInput.class, () -> GenerationFile.next(folder, 1)).getMessage();
        assertTrue(said.contains(folder.resolve("life").toString()), said);
        Path none = folder.resolve("none");
        assertTrue(
                assertThrows(BadInput.class, () -> GenerationFile.next(none, 1))
                        .getMessage()
                        .contains(none.toString()));
    }
}
