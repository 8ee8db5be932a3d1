package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** An accepted request: its command, its slot in the client's response order, and its attempts. */
final class Exchange {
    final long id;
    final Command command;
    final ClientSession session;
    final ClientSession.Slot slot;
    final long dueUs;

    /** From the settings at the time of the request. */
    final int maxAttempts;

    /** Whether the request may be executed twice, from the same settings. */
    final boolean repeatable;

    /** How long after sending an attempt that may have run a repeat has no effect, from the same settings. */
    private final long repeatWindowUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    int openAttempts;
    boolean answered;

    /** Events about this request that are queued for the router. */
    int queuedEvents;

    Future<?> overdueTimer;

    Exchange(
            long id,
            Command command,
            ClientSession session,
            ClientSession.Slot slot,
            long dueUs,
            int maxAttempts,
            Router.RequestClass type) {
        this.id = id;
        this.command = command;
        this.session = session;
        this.slot = slot;
        this.dueUs = dueUs;
        this.maxAttempts = maxAttempts;
        repeatable = type.effect == Router.Effect.SAFE;
        repeatWindowUs = type.repeatWindowUs;
    }

    /** Adds the next attempt. Those before it may only begin within its repeat window. */
    void add(Attempt next) {
        if (!repeatable) {
            for (Attempt a : attempts) {
                a.limitLastByte(next.sentUs + repeatWindowUs);
            }
        }
        attempts.add(next);
    }

    /** Deadline for sending the last byte of the next attempt: later it might be executed a second time. */
    long lastByteDeadlineUs() {
        long by = Long.MAX_VALUE;
        for (Attempt a : attempts) {
            if (!repeatable && !a.neverRan) {
                by = Math.min(by, a.sentUs + repeatWindowUs);
            }
        }
        return by;
    }
}
