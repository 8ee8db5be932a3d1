package holdproxy.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Event;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Published settings reach real control machines, relays and proxies in the order of publication. */
class DistributionScheduleTest {
    @TempDir Path folder;

    @Test
    void proxiesEndAtTheNewestVersionThoughEachRelayIsKilled() throws Exception {
        Schedule schedule = Schedule.read(Path.of("rig/distribution/relays-killed.toml"));
        try (ChildReaper reaper = ChildReaper.start(RigCommand.ownCommand("rig", "keep"));
                ScheduleRun run =
                        new ScheduleRun(schedule, folder, reaper, RigCommand::ownCommand)) {
            assertEquals(List.of(), run.play().broken());
        }
        String history = Files.readString(folder.resolve("history.txt"));
        assertTrue(history.contains("proxy-6"), history);
        assertEquals(
                schedule.toml(),
                Schedule.read("again", schedule.toml()).toml(),
                "a schedule that is written and read again must be the same");
    }

    @Test
    void anOlderVersionAfterANewerOneIsReported() {
        List<Event> events =
                List.of(
                        logged("starting name=a pid=1"),
                        logged("configuration in force epoch=5 number=2 sections=1"),
                        logged("configuration in force epoch=5 number=3 sections=1"),
                        logged("starting name=a pid=2"),
                        logged("configuration in force epoch=5 number=1 sections=1"));
        assertEquals(List.of(), ConfigurationAuditor.broken(events));
        for (String late : List.of("epoch=5 number=1", "epoch=5 number=0", "epoch=4 number=9")) {
            List<Event> broken = new ArrayList<>(events);
            broken.add(logged("configuration in force " + late + " sections=1"));
            assertEquals(1, ConfigurationAuditor.broken(broken).size(), late);
        }
    }

    private static Event logged(String what) {
        return new Event(0, Event.Kind.SAID, "a", "", what);
    }
}
