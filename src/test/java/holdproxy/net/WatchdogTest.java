package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchdogTest {
    private static final long STEP = 100_000;
    private final List<String> lines = new ArrayList<>();
    private final Watchdog watchdog = new Watchdog(Thread.currentThread(), 0, lines::add);

    @Test
    void aStalledLoopIsReportedOnceWithItsStackAndAgainAtTheNextStall() {
        for (long now = STEP; now <= 3_000_000; now += STEP) {
            if (now <= 1_000_000 || now > 2_000_000 && now <= 2_100_000) {
                watchdog.beat(now);
            }
            watchdog.check(now);
        }
        assertEquals(2, lines.size(), lines.toString());
        assertTrue(
                lines.get(0).startsWith("the request loop stands still since 800 ms in "),
                lines.get(0));
        assertTrue(lines.get(0).contains("WatchdogTest.aStalledLoop"), lines.get(0));
    }

    @Test
    void aStallOfBothThreadsIsReportedAsThatOfTheProcess() {
        watchdog.beat(STEP);
        watchdog.check(STEP);
        watchdog.check(2_100_000);
        assertEquals(List.of("the process stood still for 2000 ms"), lines);
        watchdog.beat(2_200_000);
        watchdog.check(2_200_000);
        assertEquals(1, lines.size());
    }
}
