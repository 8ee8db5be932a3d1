package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioFileTest {
    @Test
    void whatIsWrittenIsReadAgain() {
        for (long seed = 1; seed <= 50; seed++) {
            Scenario drawn = Scenario.drawn(seed, 10);
            assertEquals(drawn, ScenarioFile.read("x.toml", ScenarioFile.write(drawn)));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "seconds = 5;;[town];nodez = 3                          | line 4: nodez is unknown"
                        + " in [town]",
                "seconds = 0                                            | line 1: seconds in the"
                        + " scenario is not a number from",
                "[town];nodes = 2.5                                     | line 2: nodes in [town]"
                        + " is not a whole number",
                "[town];nodes = \"ten\"                                 | line 2: nodes in [town]"
                        + " is not a number",
                "town = 3                                               | line 1: town is no table",
                "[load];clubs = [0.5, 0.6]                              | line 2: the shares of"
                        + " clubs make 1.1",
                "[load];clubs = [0.5, \"x\"]                            | line 2: clubs holds"
                        + " something else",
                "[[fault]];kind = \"flood\";at_s = 1                    | line 2: kind is not one"
                        + " of crash",
                "[[fault]];kind = \"crash\"                             | line 1: at_s is missing"
                        + " from [[fault]]",
                "[[fault]];kind = \"kill\";at_s = 1;proxy = 2           | line 4: proxy in"
                        + " [[fault]] is not a number from 0.0 to 1",
                "[[fault]];kind = \"restart\";at_s = 1;proxy = 0;times = 2 | line 5: times is"
                        + " unknown in [[fault]]",
                "seconds = 5;seconds = 6                                | line 2:",
                "[town                                                  | line 1:"
            })
    void whatIsWrongIsNamedWithItsLine(String text, String error) {
        BadInput e =
                assertThrows(
                        BadInput.class, () -> ScenarioFile.read("x.toml", text.replace(';', '\n')));
        assertTrue(e.getMessage().startsWith("x.toml " + error), e.getMessage());
    }

    @Test
    void theShippedScenariosAreRead() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            List<Path> shipped =
                    files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
            assertTrue(shipped.size() >= 12, shipped.size() + " scenarios");
            for (Path f : shipped) {
                assertEquals(f.getFileName().toString(), ScenarioFile.read(f).name() + ".toml");
            }
        }
    }

    @Test
    void shrinkingKeepsWhatBreaks() {
        Scenario whole =
                SimulatedSiteTest.small(
                        1,
                        SimulatedSiteTest.fault(Fault.Kind.SLOW, 2, 1, 3),
                        SimulatedSiteTest.fault(Fault.Kind.CRASH, 3, 1, 1),
                        SimulatedSiteTest.fault(Fault.Kind.HOLD, 9, 1, 0));
        // breaks while a crash fault (of a node above 0) is left and there are 2 proxies
        Scenario least =
                ScenarioShrinker.shrink(
                        whole,
                        s ->
                                s.town().proxies() == 2
                                        && s.faults().stream()
                                                .anyMatch(f -> f.kind() == Fault.Kind.CRASH));
        assertEquals(List.of(whole.faults().get(1)), least.faults());
        assertEquals(3, least.seconds());
        assertEquals(2, least.town().nodes());
        assertEquals(2, least.town().proxies());
        assertTrue(least.load().ratePerS() <= 2);
    }
}
