package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdproxy.policy.Tally;
import org.junit.jupiter.api.Test;

class CountingTest {
    private final Lateness lateness = new Lateness(0);
    private final Counting counting = new Counting(new Tally(), () -> "", lateness);

    @Test
    void aLoopThatRanLateIsToldOnceAndOnlyBeyondATenthOfASecond() {
        lateness.ticked(20_000);
        lateness.ticked(130_000); // 90 ms late
        assertEquals("", counting.sinceThen(130_000));
        lateness.ticked(420_000); // 270 ms late
        assertEquals(" late_ms=270", counting.sinceThen(420_000));
        assertEquals("", counting.sinceThen(430_000));
    }

    @Test
    void turnsForNothingAreToldWhereThereAreManyInASecond() {
        Turns turns = new Turns(executor -> new TurnsTest.ByHand());
        TurnsTest.ByHand loop = new TurnsTest.ByHand();
        var handler = turns.newHandler(null);
        counting.of(turns);
        for (int i = 0; i < 249; i++) {
            handler.run(loop);
        }
        assertEquals("", counting.sinceThen(0));
        for (int i = 0; i < 300; i++) {
            handler.run(loop);
        }
        assertEquals(" turns=300 idle_turns=300", counting.sinceThen(0));
        assertEquals("", counting.sinceThen(0));
    }
}
