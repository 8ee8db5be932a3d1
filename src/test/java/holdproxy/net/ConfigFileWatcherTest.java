package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which contents of a file are reported at which poll. */
class ConfigFileWatcherTest {
    @TempDir Path folder;

    private final List<String> reported = new ArrayList<>();
    private Path file;
    private ConfigFileWatcher watcher;

    @BeforeEach
    void start() throws IOException {
        file = Files.writeString(folder.resolve("config"), "first");
        watcher =
                new ConfigFileWatcher(
                        file, () -> reported.add(Files.exists(file) ? read() : "none"));
        poll(2);
    }

    private String read() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void poll(int times) {
        for (int i = 0; i < times; i++) {
            watcher.poll();
        }
    }

    @Test
    void eachContentIsReportedOnceAndThatOfTheStartToo() throws IOException {
        Files.writeString(file, "second");
        poll(5);
        assertEquals(List.of("first", "second"), reported);
    }

    @Test
    void aFileThatIsBeingWrittenIsReportedOnceItStaysAsItIs() throws IOException {
        for (String part : List.of("s", "se", "sec", "second")) {
            Files.writeString(file, part);
            poll(1);
        }
        poll(1);
        assertEquals(List.of("first", "second"), reported);
    }

    /** Size and times stay the same: only the content differs. */
    @Test
    void aChangeThatItsTimesDoNotShowIsReported() throws IOException {
        FileTime time = Files.getLastModifiedTime(file);
        Files.setLastModifiedTime(Files.writeString(file, "other"), time);
        poll(2);
        assertEquals(List.of("first", "other"), reported);
    }

    @Test
    void aFileThatIsGoneForOneLookIsNoChangeAndOneThatStaysAwayIs() throws IOException {
        Files.delete(file);
        poll(1);
        Files.writeString(file, "first");
        poll(2);
        assertEquals(List.of("first"), reported);
        Files.delete(file);
        poll(3);
        assertEquals(List.of("first", "none"), reported);
    }
}
