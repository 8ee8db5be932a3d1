package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadCommandsTest {
    private static Map<String, Object> report(String... args) throws IOException {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            assertEquals(0, LabCommand.run(args));
        } finally {
            System.setOut(before);
        }
        return JSON.std.mapFrom(out.toString(StandardCharsets.UTF_8));
    }

    private static double figure(Object row, String name) {
        return ((Number) ((Map<?, ?>) row).get(name)).doubleValue();
    }

    @Test
    void belowWhatTheNodesCanDoAllIsServedInTimeAndAPlotIsWritten(@TempDir Path dir)
            throws IOException {
        Path plot = dir.resolve("plot.png");
        Map<String, Object> report =
                report(
                        ("overload --loads 0.5 --seeds 2 --seconds 12 --warm-up 2 --json "
                                        + "--greedy 0 --plot "
                                        + plot)
                                .split(" "));
        Object row = ((List<?>) report.get("loads")).get(0);
        assertEquals(0.5, figure(row, "share"), 0.06);
        assertTrue(figure(row, "least_s") <= figure(row, "mean_s"), row.toString());
        assertTrue(Files.size(plot) > 1000, "plot file is too small to be an image");
    }

    @Test
    void stepInLoadShowsInAttempts() throws IOException {
        Map<String, Object> report =
                report(
                        "step", "--seeds", "1", "--up-at", "11", "--for", "11", "--after", "6",
                        "--low", "0.2", "--high", "0.6", "--json");
        assertEquals(0.6, figure(report, "up_attempts_level"), 0.1);
        assertTrue(figure(report, "up_settled_s") < 11, report.toString());
    }

    @Test
    void aWrongFigureIsNamedWithExitCode2() {
        assertEquals(2, LabCommand.run(new String[] {"overload", "--nodes", "0"}));
        assertEquals(2, LabCommand.run(new String[] {"overload", "--greedy", "3"}));
        assertEquals(2, LabCommand.run(new String[] {"step", "--high", "0.1"}));
    }

    @ParameterizedTest
    @ValueSource(strings = {"membership", "peers", "consensus", "council", "leases", "duties"})
    void simulationsAreFoundByTheirFormerNamesToo(String name) {
        assertEquals(0, LabCommand.run(new String[] {name, "--seeds", "1", "--seconds", "30"}));
    }
}
