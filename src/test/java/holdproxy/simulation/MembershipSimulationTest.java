package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.membership.Membership;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests membership under faults in virtual time, and that each of its rules is needed. */
class MembershipSimulationTest {
    private static final int SEEDS = 200;
    private static final double SECONDS = 180;

    private static MembershipSimulation.Outcome play(
            long seed, Set<Membership.Safeguard> safeguards) {
        return MembershipSimulation.play(seed, 7, SECONDS, safeguards);
    }

    @Test
    void fleetsConvergeAndHealthyProcessesAreNotDeclaredDead() {
        Set<String> kinds = new TreeSet<>();
        int found = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            MembershipSimulation.Outcome outcome =
                    play(seed, EnumSet.allOf(Membership.Safeguard.class));
            assertEquals(List.of(), outcome.broken(), "seed " + seed + " " + outcome.kinds());
            kinds.addAll(outcome.kinds());
            found += outcome.foundS().size();
        }
        assertEquals(10, kinds.size(), "every kind of fault was caused: " + kinds);
        assertTrue(found > SEEDS / 4, found + " deaths were found");
    }

    @Test
    void runsAreDeterministic() {
        assertEquals(
                play(5, EnumSet.allOf(Membership.Safeguard.class)),
                play(5, EnumSet.allOf(Membership.Safeguard.class)));
    }

    @ParameterizedTest
    @EnumSource
    void withoutOneOfItsRulesMembershipBreaks(Membership.Safeguard without) {
        Set<Membership.Safeguard> rest = EnumSet.complementOf(EnumSet.of(without));
        assertTrue(
                LongStream.rangeClosed(1, SEEDS)
                        .anyMatch(seed -> !play(seed, rest).broken().isEmpty()),
                "no seed up to " + SEEDS + " needs " + without);
    }

    /** Protocol overhead: what each process sends does not grow with the fleet. */
    @Test
    void messageRatePerProcessIsIndependentOfFleetSize() {
        double few = rate(5);
        double many = rate(100);
        assertTrue(many < few * 1.3, few + " messages a second of 5, " + many + " of 100");
    }

    private static double rate(int processes) {
        double seconds = 120;
        MembershipSimulation.Outcome outcome = MembershipSimulation.quiet(1, processes, seconds);
        assertEquals(List.of(), outcome.broken());
        return outcome.messages() / seconds / processes;
    }
}
