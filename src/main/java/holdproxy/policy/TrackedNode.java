package holdproxy.policy;

/** The state that this proxy holds about a node or the origin. */
final class TrackedNode {
    /**
     * The probability of being passed over decays to 1/e in this time, slower in proxies with little
     * traffic.
     */
    static final double DECAY_US = 5e6;

    /** Delay of the next trial after a failed dial; doubles with each further one. */
    static final long DIAL_RETRY_MIN_US = 500_000;

    static final long DIAL_RETRY_MAX_US = 4_000_000;
    static final double BUSY_DECAY_US = 10e6;

    final int id;
    int cell;
    int zone;
    int kind;
    double weight;
    Router.NodeState state;
    long startedUs = Long.MIN_VALUE;

    /** Left out by operators. */
    boolean leftOut;

    /** When operators put it back into use; it may have been restarted meanwhile. */
    private long putBackAt = Long.MIN_VALUE;

    /** Consecutive failed dials; no trial is made before {@link #downUntil}. */
    private int failedDials;

    private long downUntil = Long.MIN_VALUE;

    /** Outstanding attempts of this proxy. */
    int inFlight;

    /** A single BLUE bucket: the probability of being passed over. */
    final DecayingValue passOver = new DecayingValue(DECAY_US);

    /** Share of its cores that are busy, as last reported or estimated. */
    final DecayingValue busyShare = new DecayingValue(BUSY_DECAY_US);

    /** When an attempt last ended and left its connection idle; MIN_VALUE: no idle connection. */
    long idleSince = Long.MIN_VALUE;

    TrackedNode(int id) {
        this.id = id;
    }

    /** A dial failed: nothing is sent there for a while, longer each time. */
    void recordFailedDial(long now) {
        downUntil =
                now + Math.min(DIAL_RETRY_MAX_US, DIAL_RETRY_MIN_US << Math.min(failedDials, 10));
        failedDials++;
    }

    /** Operators put it back into use: discards what was learnt before. */
    void putBack(long at) {
        putBackAt = at;
        markUp();
        passOver.set(0, at);
        busyShare.set(0, at);
        idleSince = Long.MIN_VALUE;
    }

    /** The start of its warm-up; MIN_VALUE: long ago. */
    long warmUpStart() {
        return Math.max(startedUs, putBackAt);
    }

    /** The node answered, or its process is new. */
    void markUp() {
        failedDials = 0;
    }

    /** Whether dials fail and either no trial is due yet or one is in progress. */
    boolean isDown(long now) {
        return failedDials > 0 && (now < downUntil || inFlight > 0);
    }

    /** Whether the node list and the operators allow new attempts. */
    boolean acceptsNew() {
        return state == Router.NodeState.READY && !leftOut;
    }

    /**
     * For monitoring: listed, but left out, down, or passed over with a probability of more than {@code
     * threshold} beyond the usual.
     */
    boolean isAvoided(double usualProbability, double threshold, long now) {
        return state != Router.NodeState.GONE
                && (leftOut || isDown(now) || passOver.get(now) - usualProbability > threshold);
    }
}
