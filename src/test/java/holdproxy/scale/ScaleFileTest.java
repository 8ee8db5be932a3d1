package holdproxy.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import holdproxy.input.BadInput;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Errors in a run's file name the line, and a run that does not fit the machine is refused before it starts.
 */
class ScaleFileTest {
    private static final String RUN = "[[measure]]\nkind = \"fanout\"\nsizes = [100, 13000]\n";

    private static String error(String text) {
        return assertThrows(BadInput.class, () -> ScaleFile.read("run.toml", text)).getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = 'x'|run.toml: [[measure]] is missing",
                "[[measure]]\\nkind = 'none'|run.toml line 2: kind in [[measure]] is not one of",
                "[[measure]]\\nkind = 'state'|run.toml line 1: sizes is missing",
                "[[measure]]\\nkind = 'state'\\nsizes = [1, 0]|run.toml line 3: sizes in",
                "[[measure]]\\nkind = 'state'\\nsizes = [1]\\nseconds = 0|run.toml line 4: seconds",
                "[[measure]]\\n"
                        + "kind = 'state'\\n"
                        + "sizes = [1]\\n"
                        + "faults = ['x']|run.toml line 4: no fault",
                "[[measure]]\\n"
                        + "kind = 'state'\\n"
                        + "sizes = [1]\\n"
                        + "size = 2|run.toml line 4: size is unknown",
                "memory_gb = 'x'|run.toml line 1: memory_gb"
            })
    void errorsNameTheLine(String text, String begins) {
        String message = error(text.replace("\\n", "\n").replace('\'', '"'));
        assertEquals(begins, message.substring(0, Math.min(begins.length(), message.length())));
    }

    @Test
    void runsThatExceedTheMachineAreRefused() {
        ScaleFile file = ScaleFile.read("run.toml", RUN);
        file.check(20_000, 16);
        assertEquals(
                "run.toml line 2: the open-files limit is too low: a process of fanout at 13000"
                        + " needs 13300, the limit is 1024 (ulimit -n)",
                assertThrows(BadInput.class, () -> file.check(1_024, 16)).getMessage());
        assertEquals(
                "run.toml line 2: fanout at 13000 needs about 3.1 GB, this machine has 2.0 GB left",
                assertThrows(BadInput.class, () -> file.check(20_000, 2)).getMessage());
        ScaleFile small = ScaleFile.read("run.toml", "memory_gb = 1\n" + RUN);
        assertEquals(
                "run.toml line 3: fanout at 13000 needs about 3.1 GB, memory_gb is 1.0",
                assertThrows(BadInput.class, () -> small.check(20_000, 16)).getMessage());
    }
}
