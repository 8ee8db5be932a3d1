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

class TurnsTest {
    private static final int TIMERS = 300;

    /** One iteration that the timer wakes, and some for other reasons to wake up. */
    private static final int TURNS_A_TIMER = 4;

    /** A fake context with settable values, and a fake handler that records the delay it was given. */
    static final class ByHand implements IoHandlerContext, IoHandler {
        long delay;
        boolean mayWait = true;
        int input;
        long waited;

        @Override
        public boolean canBlock() {
            return mayWait;
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
            waited = context.delayNanos(0);
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

    private final ByHand hand = new ByHand();
    private final Turns turns = new Turns(executor -> hand);
    private final IoHandler handler = turns.newHandler(null);

    private long waits(long delay) {
        hand.delay = delay;
        handler.run(hand);
        return hand.waited;
    }

    @Test
    void aWaitIsNeverShorterThanTheTimeUntilTheNextTimerAndWhole() {
        assertEquals(1_000_000, waits(1));
        assertEquals(1_000_000, waits(499_999));
        assertEquals(1_000_000, waits(1_000_000));
        assertEquals(2_000_000, waits(1_000_001));
        assertEquals(0, waits(0), "due now");
        assertEquals(-5, waits(-5), "overdue");
        assertEquals(Long.MAX_VALUE, waits(Long.MAX_VALUE), "no timer");
    }

    @Test
    void aTurnIsIdleThatFoundNoInputNoTaskAndNoTimerDue() {
        handler.run(hand);
        hand.input = 1;
        handler.run(hand);
        hand.input = 0;
        hand.mayWait = false;
        handler.run(hand);
        assertEquals(3, turns.all());
        assertEquals(1, turns.idle());
    }

    @Test
    void aLoopOnSocketsTurnsForItsTimersAndNotForNothing() throws Exception {
        int most = TIMERS * TURNS_A_TIMER;
        int patient = turnsTaken(Turns::new);
        assertTrue(patient <= most, patient + " turns for " + TIMERS + " timers");
        // the test must detect the defect that Netty's handler has on its own
        int bare = turnsTaken(sockets -> sockets);
        assertTrue(bare > most, "defect not detected: " + bare + " turns");
    }

    /** How often a real loop polled for input during a chain of timers with fractions of a millisecond. */
    private static int turnsTaken(UnaryOperator<IoHandlerFactory> around) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        IoHandlerFactory sockets =
                NioIoHandler.newFactory(
                        SelectorProvider.provider(),
                        () ->
                                (select, tasks) -> {
                                    taken.incrementAndGet();
                                    // as Netty's default strategy: block if there are no tasks
                                    return tasks ? select.get() : -1;
                                });
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, around.apply(sockets)).next();
        try {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> next(loop, TIMERS, done));
            done.get(60, TimeUnit.SECONDS);
            return taken.get();
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
