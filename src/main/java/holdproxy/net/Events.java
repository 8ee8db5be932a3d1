package holdproxy.net;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * What the module is told, and when. It decides at the end of a turn of the loop, by all that had come until
 * then: what is read first may have come last, or be the older by as long as the loop stood still. So nothing
 * is sent to a node whose drain or end lies behind the request in that turn, nor for a client that has left
 * in it. Its calls do not nest: what its actions bring about at once is delivered after its return.
 */
final class Events {
    private final Transport transport;
    private final Log log;
    private final BooleanSupplier late;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean telling;
    private boolean delivering;

    /** {@code late}: whether the loop has just stood still for long. */
    Events(Transport transport, Log log, BooleanSupplier late) {
        this.transport = transport;
        this.log = log;
        this.late = late;
    }

    /** In the order of their coming, at the end of this turn. */
    void add(Runnable call) {
        waiting.add(call);
        if (!delivering) {
            delivering = true;
            transport.whenRead(this::deliver, late.getAsBoolean());
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
        try {
            for (Runnable next = waiting.poll(); next != null; next = waiting.poll()) {
                tell(next);
            }
        } finally {
            delivering = false;
        }
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
