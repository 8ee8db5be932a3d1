package holdproxy.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Auditors;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Plays the lease schedules with real processes: each lease has one holder, and there is progress. */
class LeaseSchedulesTest {
    private static final int PARALLEL_RUNS = 4;

    @TempDir Path folder;

    @Test
    void eachLeaseHasOneHolderInEverySchedule() throws Exception {
        List<Path> files;
        try (Stream<Path> all = Files.list(Path.of("rig/leases"))) {
            files = all.sorted().toList();
        }
        assertEquals(12, files.size());
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
        Map<String, List<Auditors.Violation>> broken = new TreeMap<>();
        int acts = 0;
        try {
            List<Future<ScheduleRun.Outcome>> runs = new ArrayList<>();
            files.forEach(f -> runs.add(executor.submit(() -> play(f))));
            for (int i = 0; i < files.size(); i++) {
                String name = files.get(i).getFileName().toString();
                List<Auditors.Violation> found = runs.get(i).get().broken();
                if (!found.isEmpty()) {
                    broken.put(name, found);
                }
                acts += acceptedActs(name);
            }
        } finally {
            executor.shutdownNow();
        }
        assertEquals(Map.of(), broken);
        assertTrue(acts > 1_000, acts + " acts");
    }

    private ScheduleRun.Outcome play(Path file) throws Exception {
        try (ChildReaper reaper = ChildReaper.start(RigCommand.ownCommand("rig", "keep"));
                ScheduleRun run =
                        new ScheduleRun(
                                Schedule.read(file),
                                folder.resolve(file.getFileName()),
                                reaper,
                                RigCommand::ownCommand)) {
            return run.play();
        }
    }

    private int acceptedActs(String name) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(name).resolve("history.txt"))) {
            return (int) lines.filter(l -> l.contains(" ACTED ") && l.endsWith(" taken")).count();
        }
    }
}
