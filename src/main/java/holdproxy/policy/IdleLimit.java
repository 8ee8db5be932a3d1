package holdproxy.policy;

/**
 * How long a connection may idle before it is no longer trusted, learnt from connections used after
 * idling.
 */
final class IdleLimit {
    // A failure divides the time that a connection may idle by e; successful use after idling
    // restores it.
    static final double REDUCTION_STEP = 1;
    static final double REDUCTION_MAX = 12;
    static final double REDUCTION_DECAY_US = 60e6;
    // Silence is attributed to idling only beyond this multiple of the idle time that other
    // connections recently survived, which is remembered for about SURVIVED_DECAY_US.
    static final double SURVIVED_MARGIN = 2;
    static final double SURVIVED_DECAY_US = 10e6;

    private final long maxUs;
    private final DecayingValue reduction = new DecayingValue(REDUCTION_DECAY_US);

    /** The longest idle time after which a connection recently still worked. */
    private final DecayingValue survivedUs = new DecayingValue(SURVIVED_DECAY_US);

    IdleLimit(long maxUs) {
        this.maxUs = maxUs;
    }

    double limitUs(long now) {
        return maxUs * Math.exp(-reduction.get(now));
    }

    /** A node accepts no new connections: idle ones may fill its connection table. */
    void connectionRefused(long now) {
        reduction.add(REDUCTION_STEP, REDUCTION_MAX, now);
    }

    /** A connection still worked after idling for this long; -1: it was new. */
    void servedAfterIdling(long idledUs, double limitUs, long now) {
        if (idledUs > limitUs / 4) {
            reduction.add(-REDUCTION_STEP, REDUCTION_MAX, now);
        }
        survivedUs.set(Math.max(survivedUs.get(now), idledUs), now);
    }

    /**
     * Whether silence on a connection may be due to its idle time. Where others worked after about as
     * long, it is just a slow answer: otherwise slow answers would on a busy proxy close every connection
     * between any two uses, and with none idle long enough to restore trust it would stay so.
     */
    boolean silentAfterIdling(long idledUs, long now) {
        if (!idledBeyondSurvived(idledUs, now)) {
            return false;
        }
        reduction.add(REDUCTION_STEP, REDUCTION_MAX, now);
        return true;
    }

    /** Whether a connection idled longer than others that recently still worked. */
    boolean idledBeyondSurvived(long idledUs, long now) {
        return idledUs > SURVIVED_MARGIN * survivedUs.get(now);
    }
}
