package holdproxy.net;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * Delivers events to the router at the end of an event loop iteration, once all sockets have been read. The
 * order of reading is not the order of arrival, and after a stall of the loop, input may be as old as the
 * stall. Waiting for the end ensures that no request is sent to a node whose drain or disconnect is read
 * later in the same iteration, or for a client whose disconnect is. Calls to the router do not nest: events
 * that its own actions cause are delivered after it returns.
 */
final class EventQueue {
    /**
     * No attempt may start more than 0.1 s after its client disconnected. Input that was read together with
     * an event may be up to one tick older than this limit, and the decision and the write take time too.
     */
    static final long MAX_INPUT_AGE_US = 60_000;

    private final Transport transport;
    private final Log log;
    private final LongSupplier clock;
    private final LoopLag lateness;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    /** Number of events that were queued before the sockets were read again, at {@link #lastReadUs}. */
    private int queuedBeforeRead;

    private long lastReadUs;
    private boolean inRouterCall;
    private boolean deliveryScheduled;

    /** {@code clock}: in microseconds, the same clock that {@code lateness} uses. */
    EventQueue(Transport transport, Log log, LongSupplier clock, LoopLag lateness) {
        this.transport = transport;
        this.log = log;
        this.clock = clock;
        this.lateness = lateness;
    }

    /** Queues an event, delivered in order of arrival at the end of this iteration. */
    void add(Runnable call) {
        queue.add(call);
        if (!deliveryScheduled) {
            deliveryScheduled = true;
            transport.afterReads(this::deliver, false);
        }
    }

    /** A node list is delivered ahead of queued events, so that no decision uses an outdated list. */
    void deliverList(Runnable call) {
        if (inRouterCall) {
            add(call);
        } else {
            invoke(call);
        }
    }

    private void deliver() {
        boolean outdated = false;
        try {
            while (!queue.isEmpty() && !outdated) {
                if (upToDate()) {
                    invoke(queue.poll());
                } else {
                    outdated = true;
                }
            }
        } finally {
            deliveryScheduled = outdated;
        }
        if (outdated) {
            readAgain();
        }
    }

    /**
     * Whether the sockets were read recently enough to deliver the next event. Checked for each event, since
     * delivering many of them may itself take long.
     */
    private boolean upToDate() {
        long now = clock.getAsLong();
        if (queuedBeforeRead > 0 && now - lastReadUs <= MAX_INPUT_AGE_US) {
            queuedBeforeRead--;
            return true;
        }
        queuedBeforeRead = 0;
        return lateness.sinceLastDueUs(now) <= MAX_INPUT_AGE_US;
    }

    /**
     * Reads the sockets again before delivering the rest. At least the first queued event is delivered then,
     * so that repeated stalls cannot hold events up for long.
     */
    private void readAgain() {
        int all = queue.size();
        transport.afterReads(
                () -> {
                    queuedBeforeRead = all;
                    lastReadUs = clock.getAsLong();
                    deliver();
                },
                true);
    }

    private void invoke(Runnable call) {
        inRouterCall = true;
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.line("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        } finally {
            inRouterCall = false;
        }
    }
}
