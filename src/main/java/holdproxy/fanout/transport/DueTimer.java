package holdproxy.fanout.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Ticks a state machine when it is due. A due time that moves later does not reschedule the timer, which
 * then ticks once without effect: the due time changes with each message, and cancelling the timer would
 * cost more than the extra tick.
 */
final class DueTimer {
    /** The due time of a state machine that has no timed action pending. */
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

    /** Schedules a tick at this time, unless an earlier one is pending. Call on the event loop. */
    void scheduleAt(long dueUs) {
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
