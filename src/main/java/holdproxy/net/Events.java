package holdproxy.net;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * What the module is told, and when. It decides at the end of a turn of the loop, by all that had come until
 * then: what is read first may have come last, or be the older by as long as the loop stood still. So nothing
 * is sent to a node whose drain or end lies behind the request in that turn, nor for a client that has left
 * in it. Its calls do not nest: what its actions bring about at once is delivered after its return.
 */
final class Events {
    /**
     * No attempt may begin over 0.1 s after its client's end. What was read together with an event may be as
     * old as this and one tick more, and there has to be time for the decision and the write as well.
     */
    static final long READ_AGAIN_US = 60_000;

    private final Transport transport;
    private final Log log;
    private final LongSupplier clock;
    private final Lateness lateness;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    /** So many of those that wait came before the sockets were read once more, at {@link #readAgainUs}. */
    private int readBehind;

    private long readAgainUs;
    private boolean telling;
    private boolean delivering;

    /** {@code clock}: microseconds, the one that {@code lateness} goes by. */
    Events(Transport transport, Log log, LongSupplier clock, Lateness lateness) {
        this.transport = transport;
        this.log = log;
        this.clock = clock;
        this.lateness = lateness;
    }

    /** In the order of their coming, at the end of this turn. */
    void add(Runnable call) {
        waiting.add(call);
        if (!delivering) {
            delivering = true;
            transport.whenRead(this::deliver, false);
        }
    }

    /** A list goes before what waits: nothing is decided by an older one than has come. */
    void list(Runnable call) {
        if (telling) {
            add(call);
        } else {
            tell(call);
        }
    }

    private void deliver() {
        boolean outdated = false;
        try {
            while (!waiting.isEmpty() && !outdated) {
                if (upToDate()) {
                    tell(waiting.poll());
                } else {
                    outdated = true;
                }
            }
        } finally {
            delivering = outdated;
        }
        if (outdated) {
            readAgain();
        }
    }

    /**
     * Whether the sockets were read so recently that the next event can be decided. Asked for each: a turn of
     * many events may itself take long.
     */
    private boolean upToDate() {
        long now = clock.getAsLong();
        if (readBehind > 0 && now - readAgainUs <= READ_AGAIN_US) {
            readBehind--;
            return true;
        }
        readBehind = 0;
        return lateness.sinceDueUs(now) <= READ_AGAIN_US;
    }

    /**
     * At least the first of those that wait is told after it, so that no standstill holds them up
     * for long.
     */
    private void readAgain() {
        int all = waiting.size();
        transport.whenRead(
                () -> {
                    readBehind = all;
                    readAgainUs = clock.getAsLong();
                    deliver();
                },
                true);
    }

    private void tell(Runnable call) {
        telling = true;
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.line("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        } finally {
            telling = false;
        }
    }
}
