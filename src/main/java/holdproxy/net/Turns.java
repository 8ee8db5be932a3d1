package holdproxy.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The turns of an event loop on sockets: counts them, and has the loop wait for its next timer.
 *
 * <p>Netty's own NIO loop waits in whole milliseconds, rounded to the nearest: in the last half millisecond
 * before a timer it does not wait at all but looks for input again and again, hundreds of turns for one
 * timer. Of a core that is a tenth; a process that has only a share of one needs it for its requests. Here
 * the wait is rounded up: a timer runs up to a millisecond late, and a turn finds something to do.
 *
 * <p>One object belongs to one loop; its counts are read on that loop's thread.
 */
final class Turns implements IoHandlerFactory {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandlerFactory sockets;
    private long turns;
    private long idle;

    Turns() {
        this(NioIoHandler.newFactory());
    }

    Turns(IoHandlerFactory sockets) {
        this.sockets = sockets;
    }

    /** Turns so far. */
    long all() {
        return turns;
    }

    /** Those that found no input, no task and no timer that was due: the loop woke for nothing. */
    long idle() {
        return idle;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(sockets.newHandler(executor));
    }

    private final class Handler implements IoHandler {
        private final IoHandler inner;
        private final Patient patient = new Patient();

        Handler(IoHandler inner) {
            this.inner = inner;
        }

        @Override
        public int run(IoHandlerContext context) {
            patient.context = context;
            int handled = inner.run(patient);
            turns++;
            if (handled == 0 && context.canBlock()) {
                idle++;
            }
            return handled;
        }

        @Override
        public void initialize() {
            inner.initialize();
        }

        @Override
        public void prepareToDestroy() {
            inner.prepareToDestroy();
        }

        @Override
        public void destroy() {
            inner.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return inner.register(handle);
        }

        @Override
        public void wakeup() {
            inner.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return inner.isCompatible(type);
        }
    }

    /** The loop's own word on when its next timer is due, in whole milliseconds and no sooner than that. */
    private static final class Patient implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentNanos) {
            long delay = context.delayNanos(currentNanos);
            return delay <= 0 || delay > Long.MAX_VALUE - MILLISECOND
                    ? delay
                    : (delay + MILLISECOND - 1) / MILLISECOND * MILLISECOND;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
