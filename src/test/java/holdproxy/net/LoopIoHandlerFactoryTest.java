package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class LoopIoHandlerFactoryTest {
    private static final int TIMERS = 300;

    /** One iteration that the timer wakes, and some for other reasons to wake up. */
    private static final int MAX_POLLS_PER_TIMER = 4;

    /** A fake context with settable values, and a fake handler that records the delay it was given. */
    static final class FakeLoop implements IoHandlerContext, IoHandler {
        long delay;
        boolean canBlock = true;
        int input;
        long delaySeen;

        @Override
        public boolean canBlock() {
            return canBlock;
        }

        @Override
        public long delayNanos(long currentNanos) {
            return delay;
        }

        @Override
        public long deadlineNanos() {
            return delay;
        }

        @Override
        public int run(IoHandlerContext context) {
            delaySeen = context.delayNanos(0);
            return input;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {
            // nothing blocks
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return true;
        }
    }

    private final FakeLoop fake = new FakeLoop();
    private final LoopIoHandlerFactory factory = new LoopIoHandlerFactory(executor -> fake);
    private final IoHandler handler = factory.newHandler(null);

    private long delaySeenFor(long delay) {
        fake.delay = delay;
        handler.run(fake);
        return fake.delaySeen;
    }

    @Test
    void waitsAreRoundedUpToWholeMilliseconds() {
        assertEquals(1_000_000, delaySeenFor(1));
        assertEquals(1_000_000, delaySeenFor(499_999));
        assertEquals(1_000_000, delaySeenFor(1_000_000));
        assertEquals(2_000_000, delaySeenFor(1_000_001));
        assertEquals(0, delaySeenFor(0), "due now");
        assertEquals(-5, delaySeenFor(-5), "overdue");
        assertEquals(Long.MAX_VALUE, delaySeenFor(Long.MAX_VALUE), "no timer");
    }

    @Test
    void anIterationWithoutInputTaskOrDueTimerIsIdle() {
        handler.run(fake);
        fake.input = 1;
        handler.run(fake);
        fake.input = 0;
        fake.canBlock = false;
        handler.run(fake);
        assertEquals(3, factory.iterations());
        assertEquals(1, factory.idleIterations());
    }

    @Test
    void aLoopOnSocketsDoesNotBusyPollBeforeItsTimers() throws Exception {
        int maxPolls = TIMERS * MAX_POLLS_PER_TIMER;
        int rounded = countPolls(LoopIoHandlerFactory::new);
        assertTrue(rounded <= maxPolls, rounded + " iterations for " + TIMERS + " timers");
        // the test must detect the defect that Netty's handler has on its own
        int nettyDefault = countPolls(sockets -> sockets);
        assertTrue(nettyDefault > maxPolls, "defect not detected: " + nettyDefault + " iterations");
    }

    /** How often a real loop polled for input during a chain of timers with fractions of a millisecond. */
    private static int countPolls(UnaryOperator<IoHandlerFactory> around) throws Exception {
        AtomicInteger polls = new AtomicInteger();
        IoHandlerFactory sockets =
                NioIoHandler.newFactory(
                        SelectorProvider.provider(),
                        () ->
                                (select, tasks) -> {
                                    polls.incrementAndGet();
                                    // as Netty's default strategy: block if there are no tasks
                                    return tasks ? select.get() : -1;
                                });
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, around.apply(sockets)).next();
        try {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> next(loop, TIMERS, done));
            done.get(60, TimeUnit.SECONDS);
            return polls.get();
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void next(EventLoop loop, int left, CompletableFuture<Void> done) {
        if (left == 0) {
            done.complete(null);
        } else {
            loop.schedule(
                    () -> next(loop, left - 1, done),
                    1_000 + left % 10 * 100,
                    TimeUnit.MICROSECONDS);
        }
    }
}
