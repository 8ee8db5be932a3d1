package holdproxy.net;

import holdproxy.policy.Tally;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * What a proxy did, on a line of its own each second: the logs of a whole fleet can be added up by it. Of the
 * request loop it tells what is out of the ordinary: that it ran late, or turned for nothing.
 */
final class Counting {
    private static final int EVERY_MS = 1000;

    /** So much in a second is worth a word; a start, or a collection, costs less. */
    private static final long LATE_US = 100_000;

    /** The same of turns without work. A loop that waits for its timers has some 10. */
    private static final long IDLE_TURNS = 250;

    private final Tally tally;
    private final Supplier<String> connections;
    private final Lateness lateness;
    private final Tally told = new Tally();
    private Turns turns;
    private long toldTurns;
    private long toldIdle;
    private long toldLateUs;

    /** {@code connections}: what was counted of them since it was asked last. */
    Counting(Tally tally, Supplier<String> connections, Lateness lateness) {
        this.tally = tally;
        this.connections = connections;
        this.lateness = lateness;
    }

    /** The turns of the loop that this proxy runs on, where it runs on sockets. */
    void of(Turns loop) {
        turns = loop;
    }

    void start(EventLoop loop, Proxy proxy) {
        loop.schedule(
                () -> {
                    String counted = sinceThen(proxy.now());
                    if (!counted.isEmpty()) {
                        proxy.log("counted:" + counted);
                    }
                    start(loop, proxy);
                },
                EVERY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Each count that is not 0, with a space before it; of the loop only what is out of the ordinary. */
    String sinceThen(long now) {
        return tally.sinceThen(told) + connections.get() + loop(now);
    }

    private String loop(long now) {
        long lateUs = lateness.totalUs(now);
        long late = lateUs - toldLateUs;
        toldLateUs = lateUs;
        String text = late >= LATE_US ? " late_ms=" + late / 1000 : "";
        if (turns != null) {
            long all = turns.all() - toldTurns;
            long idle = turns.idle() - toldIdle;
            toldTurns += all;
            toldIdle += idle;
            if (idle >= IDLE_TURNS) {
                text += " turns=" + all + " idle_turns=" + idle;
            }
        }
        return text;
    }
}
