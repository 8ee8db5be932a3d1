package holdproxy.policy;

/** A request that is not yet answered, or has attempts outstanding. */
final class OpenRequest {
    static final int ATTEMPTS_MOST = 8;

    final long id;
    final long key;
    final long arrived;
    final long due;
    final Router.RequestClass type;
    final int tenant;
    final double costUs;
    final boolean write;
    final int attemptsMost;
    boolean hot;
    boolean atOrigin;
    boolean done;
    boolean blamed;
    int attempts;

    /** Outcome of the attempt that ended last. */
    Router.Outcome last;

    /** Bit mask of the attempts still outstanding. */
    int out;

    /** Bit mask of the attempts that are not proven never to have run. */
    int mayHaveRun;

    final TrackedNode[] node = new TrackedNode[ATTEMPTS_MOST];

    /** How long the connection had been idle when the attempt was sent; -1: it was new. */
    final long[] idledUs = new long[ATTEMPTS_MOST];

    final long[] sentAt = new long[ATTEMPTS_MOST];

    OpenRequest(
            Router.Request q, Router.RequestClass type, int tenant, int attemptsMost, long now) {
        this.attemptsMost = Math.min(ATTEMPTS_MOST, attemptsMost);
        id = q.id;
        key = q.key;
        arrived = now;
        due = q.dueUs;
        this.type = type;
        this.tenant = tenant;
        costUs = q.workUs;
        write = q.write;
    }

    /** Time beyond the request's own stated work, as a fraction of its latency target. */
    double waited(long latencyUs) {
        return Math.max(0, latencyUs - costUs) / type.targetUs;
    }

    void sent(TrackedNode t, long now) {
        node[attempts] = t;
        sentAt[attempts] = now;
        out |= 1 << attempts;
        mayHaveRun |= 1 << attempts;
        attempts++;
        t.inFlight++;
    }

    boolean isOut(int attempt) {
        return attempt < attempts && (out & 1 << attempt) != 0;
    }

    void ended(int attempt, Router.Outcome outcome) {
        last = outcome;
        out &= ~(1 << attempt);
        node[attempt].inFlight--;
        if (outcome.neverRan) {
            mayHaveRun &= ~(1 << attempt);
        }
    }

    boolean tried(TrackedNode t) {
        for (int i = 0; i < attempts; i++) {
            if (node[i] == t) {
                return true;
            }
        }
        return false;
    }

    /** Whether another attempt may go to this node now without the risk of repeating a side effect. */
    boolean mayGoTo(TrackedNode t, Router.Settings set, long now) {
        if (type.effect == Router.Effect.SAFE || mayHaveRun == 0) {
            return true;
        }
        if (type.effect == Router.Effect.UNSAFE) {
            return false;
        }
        int first = Integer.numberOfTrailingZeros(mayHaveRun);
        // an attempt sent now may wait for a connection, and must still arrive within the window
        if (now - sentAt[first] >= type.repeatWindowUs - 2 * set.tickUs - set.dialTimeoutUs) {
            return false;
        }
        TrackedNode ran = node[first];
        return switch (type.group) {
            case ALL -> true;
            case ZONE -> ran.zone == t.zone;
            case CELL -> ran.cell == t.cell;
        };
    }

    /** Whether the request may be refused: a refusal promises that trying again is harmless. */
    boolean mayRefuse() {
        return type.effect == Router.Effect.SAFE
                || mayHaveRun == 0
                || type.effect == Router.Effect.KEYED && type.group == Router.Group.ALL;
    }
}
