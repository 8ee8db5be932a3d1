package holdproxy.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.Change;
import holdproxy.fanout.Position;
import holdproxy.fanout.Value;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Line fits, result files, the tables, and {@link DeliveryCheck}. */
class SlopesTest {
    private static final String BEGIN =
            "<!-- tables: holdproxy scale tables scale/results/*.json -->\n";
    private static final String END = "<!-- end of tables -->";

    @TempDir Path folder;

    @Test
    void lineFitHasSlopeAndErrors() {
        Fit exact = Fit.of(List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));
        assertEquals(3, exact.a(), 1e-9);
        assertEquals(2, exact.b(), 1e-9);
        assertEquals(0, exact.errorAt(100), 1e-9);
        // calculated by hand: slope 0.9, residuals 0.2, -0.7, 0.8, -0.3, variance 1.26 / 2
        Fit loose =
                Fit.of(
                        List.of(
                                new Point(1, 2),
                                new Point(2, 2),
                                new Point(3, 4.4),
                                new Point(4, 4.2)));
        assertEquals(0.9, loose.b(), 1e-9);
        assertEquals(Math.sqrt(1.26 / 2 / 5), loose.bError(), 1e-9);
        assertTrue(
                loose.errorAt(100) > 10 * loose.errorAt(2.5),
                "further away the line is less certain");
    }

    @Test
    void resultFileIsReadAsWritten() throws IOException {
        Findings findings = new Findings();
        findings.add(Series.of("proxy", "idle", "B/s", "proxies", "watch", 13_000, Double.NaN))
                .add(2, 3.5);
        Latencies times = Latencies.of("commit to in force");
        Latencies.record(times.values(), 1_500);
        findings.latencies().add(times);
        findings.addVerdict("all hold it", false, "one does not");
        Path file = folder.resolve("run.json");
        ResultFile written = new ResultFile("run", "2026-12-02T05:00:00Z", "8 cores", findings);
        written.write(file);
        assertEquals(
                SlopeTables.of(List.of(written)), SlopeTables.of(List.of(ResultFile.read(file))));
        Files.writeString(file, Files.readString(file).replace("\"unit\"", "\"units\""));
        assertEquals(
                "run.json series 0: unit is missing or no text",
                assertThrows(BadInput.class, () -> ResultFile.read(file)).getMessage());
    }

    @Test
    void capacityPageHasTheTablesOfTheStoredResults() throws IOException {
        List<ResultFile> results;
        try (Stream<Path> files = Files.list(Path.of("scale/results"))) {
            results = files.sorted().map(ResultFile::read).toList();
        }
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        String tables = page.substring(page.indexOf(BEGIN) + BEGIN.length(), page.indexOf(END));
        assertEquals(SlopeTables.of(results).strip(), tables.strip());
    }

    private static Change change(long number) {
        return new Change(
                new Position(1, number),
                new TreeMap<>(Map.of("key", Value.of("value"))),
                new TreeSet<>());
    }

    @Test
    void deliveryCheckFindsSkippedRepeatedAndOldChanges() {
        DeliveryCheck check = new DeliveryCheck();
        assertTrue(check.accept(new Position(1, 25), List.of()), "a first snapshot");
        assertTrue(check.accept(new Position(1, 27), List.of(change(26), change(27))));
        assertFalse(check.accept(new Position(1, 29), List.of(change(29))), "28 is skipped");
        assertFalse(check.accept(new Position(1, 29), List.of(change(29))), "29 comes twice");
        assertFalse(check.accept(new Position(1, 28), List.of()), "an older snapshot");
        assertFalse(check.accept(new Position(1, 31), List.of(change(30), change(29))));
        assertFalse(check.accept(new Position(1, 40), List.of(change(32))), "not what it says");
        assertTrue(check.accept(new Position(2, 3), List.of()), "a newer epoch");
    }
}
