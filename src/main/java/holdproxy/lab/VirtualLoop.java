package holdproxy.lab;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of a town in virtual time: it runs what is due, then time jumps to the next timer. One
 * thread and one order, so that a seed gives the same run each time.
 */
final class VirtualLoop extends ManualIoEventLoop {
    private final MockTicker ticker;
    private final long startNs;

    private VirtualLoop(MockTicker ticker) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
        this.ticker = ticker;
        startNs = ticker.nanoTime();
    }

    /** A loop of the calling thread, which alone may run it; its time is 0. */
    static VirtualLoop create() {
        return new VirtualLoop(Ticker.newMockTicker());
    }

    /** Microseconds since its start. */
    long nowUs() {
        return (ticker.nanoTime() - startNs) / 1000;
    }

    void after(long delayUs, Runnable task) {
        schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }

    /** Runs until this time, in microseconds since the start; what is due then has run. */
    void runUntil(long us) {
        long endNs = startNs + us * 1000;
        while (true) {
            while (runNow() > 0) {
                continue;
            }
            long waitNs = nextScheduledTaskNano();
            long leftNs = endNs - ticker.nanoTime();
            if (waitNs < 0 || waitNs > leftNs) {
                ticker.advance(Math.max(0, leftNs), TimeUnit.NANOSECONDS);
                return;
            }
            ticker.advance(Math.max(1, waitNs), TimeUnit.NANOSECONDS);
        }
    }
}
