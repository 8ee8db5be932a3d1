package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.Safeguard;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the fan-out under faults in virtual time, and that each safeguard is needed. */
class FanoutSimulationTest {
    private static final int SEEDS = 30;
    private static final int SEEDS_TO_FIND_A_MUTATION = 200;
    private static final double WORST_S = 6;
    private static final double USUAL_S = 1;

    @Test
    void everyProxyEndsWithTheNewestStateAndNoRuleIsBrokenOnTheWay() {
        Set<FanoutFault> faults = EnumSet.noneOf(FanoutFault.class);
        List<FanoutSimulation.Outcome> outcomes =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .mapToObj(seed -> FanoutSimulation.play(seed, Safeguard.all()))
                        .toList();
        for (int i = 0; i < SEEDS; i++) {
            FanoutSimulation.Outcome outcome = outcomes.get(i);
            assertEquals(List.of(), outcome.broken(), "seed " + (i + 1) + " " + outcome.faults());
            faults.addAll(outcome.faults());
        }
        assertEquals(EnumSet.allOf(FanoutFault.class), faults, "every fault was caused");
    }

    @Test
    void runsAreDeterministic() {
        assertEquals(
                FanoutSimulation.play(5, Safeguard.all()),
                FanoutSimulation.play(5, Safeguard.all()));
    }

    @ParameterizedTest
    @EnumSource
    void withoutOneOfItsSafeguardsARuleIsBroken(Safeguard without) {
        Set<Safeguard> others = EnumSet.complementOf(EnumSet.of(without));
        assertTrue(
                LongStream.rangeClosed(1, SEEDS_TO_FIND_A_MUTATION)
                        .parallel()
                        .anyMatch(seed -> !FanoutSimulation.play(seed, others).broken().isEmpty()),
                "no seed up to " + SEEDS_TO_FIND_A_MUTATION + " needs " + without);
    }

    @ParameterizedTest
    @EnumSource(names = {"RELAY_KILLED", "RELAY_VANISHED", "RELAY_STOPPED"})
    void changesAreInForceInTimeAlsoWhereARelayIsLost(FanoutFault fault) {
        FanoutSimulation.Shape shape = new FanoutSimulation.Shape(3, 2, 5);
        Histogram quietMs = new Histogram(3);
        Histogram faultyMs = new Histogram(3);
        for (long seed = 1; seed <= 2; seed++) {
            FanoutSimulation.recordInForce(seed, shape, null, quietMs);
            FanoutSimulation.recordInForce(seed, shape, fault, faultyMs);
        }
        assertTrue(quietMs.getValueAtPercentile(99) < USUAL_S * 1000);
        assertTrue(faultyMs.getMaxValue() < WORST_S * 1000, faultyMs.getMaxValue() + " ms");
    }
}
