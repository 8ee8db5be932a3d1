package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** How old unread input may be when an event is delivered; the test controls clock and event loop. */
class EventsTest implements Transport {
    private static final long MS = 1_000;

    /** A disconnect must be noticed within 0.1 s; the rest of that time is left for the write. */
    private static final long MAX_AGE_US = 90 * MS;

    private long nowUs;
    private long readUs;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final LoopLag lateness = new LoopLag(0);
    private final List<Long> ages = new ArrayList<>();
    private final EventQueue events = new EventQueue(this, null, () -> nowUs, lateness);

    @Override
    public void afterReads(Runnable task, boolean late) {
        tasks.add(task);
    }

    /** One event loop iteration: reads the sockets, runs the waiting tasks, and the tick if it is due. */
    private void iterate() {
        readUs = nowUs;
        for (int count = tasks.size(); count > 0; count--) {
            tasks.poll().run();
        }
        if (lateness.sinceLastDueUs(nowUs) >= 2 * LoopLag.TICK_US) {
            lateness.ticked(nowUs);
        }
    }

    /** An event that takes this long to handle. */
    private void event(long durationUs) {
        events.add(
                () -> {
                    ages.add(nowUs - readUs);
                    nowUs += durationUs;
                });
    }

    @Test
    void manyEventsOfOneIterationAreNotAllDeliveredAfterOneRead() {
        lateness.ticked(nowUs);
        for (int i = 0; i < 40; i++) {
            event(10 * MS);
        }
        int iterations = 0;
        while (ages.size() < 40) {
            int before = ages.size();
            iterate();
            assertTrue(
                    ++iterations == 1 || ages.size() > before, "an iteration delivered no event");
        }
        assertTrue(ages.stream().allMatch(age -> age <= MAX_AGE_US), ages.toString());
        assertTrue(iterations <= 8, iterations + " iterations");
    }

    @Test
    void anEventIsDeliveredInItsIterationIfTheLoopIsOnTime() {
        for (int i = 0; i < 10; i++) {
            nowUs += LoopLag.TICK_US;
            lateness.ticked(nowUs);
            event(0);
            iterate();
            assertEquals(i + 1, ages.size());
        }
    }

    /** Wherever between two ticks the stall begins, and though no tick has run since. */
    @Test
    void theSocketsAreReadAgainAfterAStallOfOver60Ms() {
        for (long beginsUs = 0; beginsUs < LoopLag.TICK_US; beginsUs += MS) {
            nowUs += 10 * LoopLag.TICK_US;
            lateness.ticked(nowUs);
            lateness.ticked(nowUs);
            nowUs += beginsUs;
            long before = ages.size();
            nowUs += 61 * MS;
            event(0);
            iterate();
            assertEquals(before, ages.size(), "the stall began " + beginsUs + " us after a tick");
            iterate();
            assertEquals(before + 1, ages.size());
        }
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdownOutput(Channel channel) {
        throw new UnsupportedOperationException();
    }
}
