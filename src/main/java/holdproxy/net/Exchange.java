package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request that was taken: its command, its client's place in line, and its attempts. */
final class Exchange {
    final long id;
    final Command command;
    final ClientSession session;
    final ClientSession.Slot slot;
    final long dueUs;

    /** As the settings had it when it came. */
    final int maxAttempts;

    /** Whether it may run twice, likewise. */
    final boolean repeatable;

    /** For so long after the sending of an attempt that may have run another one does nothing, likewise. */
    private final long repeatWindowUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean answered;
    Future<?> overdue;

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

    /** When the last byte of a next attempt has to be out: from then on it might run a second time. */
    long lastByteByUs() {
        long by = Long.MAX_VALUE;
        for (Attempt a : attempts) {
            if (!repeatable && !a.neverRan) {
                by = Math.min(by, a.sentUs + repeatWindowUs);
            }
        }
        return by;
    }
}
