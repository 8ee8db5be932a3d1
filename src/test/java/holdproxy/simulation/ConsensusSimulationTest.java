package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.lease.LeaseClient;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests consensus groups and leases under faults in virtual time, and that the checkers find planted bugs. */
class ConsensusSimulationTest {
    private static final int SEEDS = 60;
    private static final int SEEDS_TO_FIND = 200;
    private static final double SECONDS = 60;

    private static ConsensusSimulation.Outcome consensus(
            long seed, Set<ConsensusSimulation.Planted> planted) {
        return ConsensusSimulation.play(seed, seed % 2 == 0 ? 3 : 5, 2, SECONDS, planted);
    }

    private static LeaseSimulation.Outcome leases(
            long seed, Set<LeaseClient.Safeguard> safeguards, boolean checksTokens) {
        return LeaseSimulation.play(
                seed, seed % 2 == 0 ? 3 : 5, 2, SECONDS, safeguards, checksTokens);
    }

    @Test
    void consensusGroupKeepsEveryAnsweredOperation() {
        Set<String> kinds = new TreeSet<>();
        int answered = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ConsensusSimulation.Outcome outcome =
                    consensus(seed, EnumSet.noneOf(ConsensusSimulation.Planted.class));
            assertEquals(List.of(), outcome.broken(), "seed " + seed + " " + outcome.kinds());
            kinds.addAll(outcome.kinds());
            answered += outcome.answered();
        }
        assertTrue(
                kinds.containsAll(
                        List.of(
                                "killed",
                                "disk lost",
                                "stopped",
                                "cut off",
                                "hears nobody",
                                "nobody hears it",
                                "split",
                                "slow",
                                "disk full",
                                "disk not forced",
                                "restarted",
                                "bit flipped")),
                kinds + "");
        assertTrue(answered > SEEDS * 500, answered + " answered");
    }

    @Test
    void runsAreDeterministic() {
        assertEquals(consensus(3, Set.of()), consensus(3, Set.of()));
        assertEquals(
                leases(3, EnumSet.allOf(LeaseClient.Safeguard.class), true),
                leases(3, EnumSet.allOf(LeaseClient.Safeguard.class), true));
    }

    @ParameterizedTest
    @EnumSource
    void plantedConsensusBugIsFound(ConsensusSimulation.Planted planted) {
        assertTrue(
                LongStream.rangeClosed(1, SEEDS_TO_FIND)
                        .anyMatch(seed -> !consensus(seed, EnumSet.of(planted)).broken().isEmpty()),
                "no seed finds " + planted);
    }

    @Test
    void aLeaseHasOneHolderAtATime() {
        int acts = 0;
        int refused = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LeaseSimulation.Outcome outcome =
                    leases(seed, EnumSet.allOf(LeaseClient.Safeguard.class), true);
            assertEquals(List.of(), outcome.broken(), "seed " + seed + " " + outcome.kinds());
            acts += outcome.acts();
            refused += outcome.refused();
        }
        assertTrue(acts > SEEDS * 1000 && refused > 0, acts + " acts, " + refused + " rejected");
    }

    @ParameterizedTest
    @EnumSource
    void withoutOneOfItsSafeguardsALeaseHasTwoHolders(LeaseClient.Safeguard without) {
        Set<LeaseClient.Safeguard> rest = EnumSet.complementOf(EnumSet.of(without));
        assertTrue(
                LongStream.rangeClosed(1, SEEDS_TO_FIND)
                        .anyMatch(seed -> !leases(seed, rest, true).broken().isEmpty()),
                "no seed needs " + without);
    }

    @Test
    void resourceWithoutTokenCheckAcceptsActOfFormerHolder() {
        assertTrue(
                LongStream.rangeClosed(1, SEEDS_TO_FIND)
                        .anyMatch(
                                seed ->
                                        leases(
                                                        seed,
                                                        EnumSet.allOf(LeaseClient.Safeguard.class),
                                                        false)
                                                .broken()
                                                .stream()
                                                .anyMatch(b -> b.startsWith("the resource"))));
    }
}
