package holdproxy.fanout.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Ticks a state machine when it is due. A due time that moves later does not cancel the timer, which then
 * ticks once in vain: state machines are due at a new time with each message, and cancelling would cost more
 * than the tick.
 */
final class DueTimer {
    /** The due time of a state machine that waits for nothing. */
    static final long NEVER_US = Long.MAX_VALUE;

    private final EventLoop loop;
    private final LongSupplier nowUs;
    private final Runnable tick;
    private Future<?> scheduled;
    private long scheduledUs;
    private boolean closed;

    DueTimer(EventLoop loop, LongSupplier nowUs, Runnable tick) {
        this.loop = loop;
        this.nowUs = nowUs;
        this.tick = tick;
    }

    /** Ticks at this time, or earlier where an earlier one was set. On the event loop. */
    void due(long dueUs) {
        if (closed || dueUs == NEVER_US || scheduled != null && scheduledUs <= dueUs) {
            return;
        }
        cancel();
        scheduledUs = dueUs;
        scheduled =
                loop.schedule(
                        this::fire, Math.max(0, dueUs - nowUs.getAsLong()), TimeUnit.MICROSECONDS);
    }

    private void fire() {
        scheduled = null;
        tick.run();
    }

    private void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }

    void close() {
        closed = true;
        cancel();
    }
}
