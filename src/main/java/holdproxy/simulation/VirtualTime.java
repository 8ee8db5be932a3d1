package holdproxy.simulation;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The clock of a simulated site and its event loops: tasks that are due run, loop by loop in order of
 * creation, then time advances to the next timer. With one thread and a fixed order, a seed gives the
 * same run each time.
 */
final class VirtualTime {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final long startNs = ticker.nanoTime();
    private final List<VirtualLoop> loops = new ArrayList<>();

    /**
     * Adds an event loop of the calling thread; {@code strict}: an exception from a task ends the run.
     */
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

    /** Runs until this time, in microseconds since the start, including the tasks due then. */
    void runUntil(long us) {
        long endNs = startNs + us * 1000;
        while (true) {
            while (runDue()) {
                continue; // a task of one loop may have scheduled tasks on another
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
        for (int i = 0; i < loops.size(); i++) { // a loop may be added during the iteration
            ran |= loops.get(i).runDue();
            ended |= loops.get(i).ended();
        }
        if (ended) {
            loops.removeIf(VirtualLoop::ended);
        }
        return ran;
    }
}
