package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Sites drawn from seeds with overlapping faults: no rule is broken, and a seed always gives the same
 * run.
 */
class RandomScenariosTest {
    private static List<SimulationRun> hunt(long seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> SimulationRun.of(Scenario.drawn(seed, 10)))
                .toList();
    }

    @Test
    void noSeedOfTwoHundredBreaksARule() {
        for (SimulationRun p : hunt(200)) {
            assertEquals(List.of(), p.broken(), "seed " + p.scenario().seed());
        }
    }

    @Test
    void sameSeedsGiveTheSameResults() {
        assertEquals(
                hunt(20).stream().map(SimulationRun::hash).toList(),
                hunt(20).stream().map(SimulationRun::hash).toList());
    }
}
