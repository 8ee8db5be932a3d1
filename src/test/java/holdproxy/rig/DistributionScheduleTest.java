package holdproxy.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.town.Event;
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
        try (Keeper keeper = Keeper.start(RigCommand.self("rig", "keep"));
                RigTown town = new RigTown(schedule, folder, keeper, RigCommand::self)) {
            assertEquals(List.of(), town.play().broken());
        }
        String history = Files.readString(folder.resolve("history.txt"));
        assertTrue(history.contains("proxy-6"), history);
        assertEquals(
                schedule.toml(),
                Schedule.read("again", schedule.toml()).toml(),
                "a schedule that is written and read again must be the same");
    }

    @Test
    void anOlderVersionAfterANewerOneIsFound() {
        List<Event> events =
                List.of(
                        said("starting name=a pid=1"),
                        said("configuration in force epoch=5 number=2 sections=1"),
                        said("configuration in force epoch=5 number=3 sections=1"),
                        said("starting name=a pid=2"),
                        said("configuration in force epoch=5 number=1 sections=1"));
        assertEquals(List.of(), ConfigurationJudge.broken(events));
        for (String late : List.of("epoch=5 number=1", "epoch=5 number=0", "epoch=4 number=9")) {
            List<Event> broken = new ArrayList<>(events);
            broken.add(said("configuration in force " + late + " sections=1"));
            assertEquals(1, ConfigurationJudge.broken(broken).size(), late);
        }
    }

    private static Event said(String what) {
        return new Event(0, Event.Kind.SAID, "a", "", what);
    }
}
