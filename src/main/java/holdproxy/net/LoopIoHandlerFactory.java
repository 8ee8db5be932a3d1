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
 * Wraps the NIO handler of an event loop: counts the loop's iterations, and rounds its waits up to whole
 * milliseconds.
 *
 * <p>Netty's NIO handler rounds a wait to the nearest millisecond. In the last half millisecond before a
 * timer it therefore does not wait but polls for input, hundreds of iterations for one timer. That takes a
 * tenth of a core, which a process with only a share of a core needs for requests. With waits rounded up, a
 * timer runs at most a millisecond late and an iteration finds work.
 *
 * <p>Each object serves one loop; its counts are read on that loop's thread.
 */
final class LoopIoHandlerFactory implements IoHandlerFactory {
    private static final long MILLISECOND_NS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandlerFactory delegate;
    private long iterations;
    private long idleIterations;

    LoopIoHandlerFactory() {
        this(NioIoHandler.newFactory());
    }

    LoopIoHandlerFactory(IoHandlerFactory delegate) {
        this.delegate = delegate;
    }

    /** Iterations so far. */
    long iterations() {
        return iterations;
    }

    /** Iterations that found no input, no task and no due timer. */
    long idleIterations() {
        return idleIterations;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(delegate.newHandler(executor));
    }

    private final class Handler implements IoHandler {
        private final IoHandler inner;
        private final RoundedContext roundedContext = new RoundedContext();

        Handler(IoHandler inner) {
            this.inner = inner;
        }

        @Override
        public int run(IoHandlerContext context) {
            roundedContext.context = context;
            int handled = inner.run(roundedContext);
            iterations++;
            if (handled == 0 && context.canBlock()) {
                idleIterations++;
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

    /** The context of the loop, with the delay until its next timer rounded up to whole milliseconds. */
    private static final class RoundedContext implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentNanos) {
            long delay = context.delayNanos(currentNanos);
            return delay <= 0 || delay > Long.MAX_VALUE - MILLISECOND_NS
                    ? delay
                    : (delay + MILLISECOND_NS - 1) / MILLISECOND_NS * MILLISECOND_NS;
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
