package holdproxy.lab;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The time of a town and the event loops that live by it: what is due runs, loop after loop in the order of
 * their making, then time jumps to the next timer. One thread and one order, so that a seed gives the same
 * run each time.
 */
final class VirtualTime {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final long startNs = ticker.nanoTime();
    private final List<VirtualLoop> loops = new ArrayList<>();

    /** One more event loop, of the calling thread; {@code strict}: what a task throws ends the play. */
    VirtualLoop loop(boolean strict) {
        VirtualLoop loop = new VirtualLoop(this, strict);
        loops.add(loop);
        return loop;
    }

    Ticker ticker() {
        return ticker;
    }

    /** Microseconds since its start. */
    long nowUs() {
        return (ticker.nanoTime() - startNs) / 1000;
    }

    long nowNs() {
        return ticker.nanoTime();
    }

    /** Runs until this time, in microseconds since the start; what is due then has run. */
    void runUntil(long us) {
        long endNs = startNs + us * 1000;
        while (true) {
            while (runDue()) {
                continue; // one loop's work may have handed some to another
            }
            long nextNs = Long.MAX_VALUE;
            for (int i = 0; i < loops.size(); i++) {
                nextNs = Math.min(nextNs, loops.get(i).nextNs());
            }
            if (nextNs > endNs) {
                ticker.advance(Math.max(0, endNs - nowNs()), TimeUnit.NANOSECONDS);
                return;
            }
            ticker.advance(Math.max(1, nextNs - nowNs()), TimeUnit.NANOSECONDS);
        }
    }

    private boolean runDue() {
        boolean ran = false;
        boolean ended = false;
        for (int i = 0; i < loops.size(); i++) { // a loop may be made meanwhile
            ran |= loops.get(i).runDue();
            ended |= loops.get(i).ended();
        }
        if (ended) {
            loops.removeIf(VirtualLoop::ended);
        }
        return ran;
    }
}
