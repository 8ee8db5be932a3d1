package holdproxy.net;

import holdproxy.policy.PolicyCounters;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Logs the counters of a proxy, as changes since the line before, once a second; the lines of a whole fleet
 * can be added up. The state of the event loop is included only if it ran late or often woke up without
 * work.
 */
final class CounterLog {
    private static final int INTERVAL_MS = 1000;

    /**
     * Delay of the event loop within one interval from which it is logged; a start or a garbage collection
     * costs less.
     */
    private static final long MIN_LOGGED_LATE_US = 100_000;

    /**
     * Idle iterations within one interval from which they are logged; a loop that waits for its timers has
     * about 10.
     */
    private static final long MIN_LOGGED_IDLE_ITERATIONS = 250;

    private final PolicyCounters counters;
    private final Supplier<String> connections;
    private final LoopLag loopLag;
    private final PolicyCounters logged = new PolicyCounters();
    private LoopIoHandlerFactory handlerFactory;
    private long loggedIterations;
    private long loggedIdleIterations;
    private long loggedLateUs;

    /** {@code connections} returns the connection counters since its last call, as text. */
    CounterLog(PolicyCounters counters, Supplier<String> connections, LoopLag loopLag) {
        this.counters = counters;
        this.connections = connections;
        this.loopLag = loopLag;
    }

    /** Sets the iteration counters of the event loop; there are none without real sockets. */
    void setTurns(LoopIoHandlerFactory loop) {
        handlerFactory = loop;
    }

    void start(EventLoop loop, Proxy proxy) {
        loop.schedule(
                () -> {
                    String changes = changesSinceLastCall(proxy.now());
                    if (!changes.isEmpty()) {
                        proxy.log("counted:" + changes);
                    }
                    start(loop, proxy);
                },
                INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The counters that changed since the last call, each with a space before it. */
    String changesSinceLastCall(long now) {
        return counters.takeIncreases(logged) + connections.get() + loopChanges(now);
    }

    private String loopChanges(long now) {
        long lateUs = loopLag.totalUs(now);
        long late = lateUs - loggedLateUs;
        loggedLateUs = lateUs;
        String text = late >= MIN_LOGGED_LATE_US ? " late_ms=" + late / 1000 : "";
        if (handlerFactory != null) {
            long all = handlerFactory.iterations() - loggedIterations;
            long idle = handlerFactory.idleIterations() - loggedIdleIterations;
            loggedIterations += all;
            loggedIdleIterations += idle;
            if (idle >= MIN_LOGGED_IDLE_ITERATIONS) {
                text += " turns=" + all + " idle_turns=" + idle;
            }
        }
        return text;
    }
}
