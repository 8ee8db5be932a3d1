package holdproxy.policy;

/**
 * How long a connection may idle before it is no longer trusted, learnt from connections used after
 * idling.
 */
final class Idling {
    // A failure divides the time that a connection may idle by e; successful use after idling
    // restores it.
    static final double THRIFT_STEP = 1;
    static final double THRIFT_MOST = 12;
    static final double THRIFT_FADE_US = 60e6;
    // Silence is attributed to idling only beyond this multiple of the idle time that other
    // connections recently survived, which is remembered for about PROVEN_FADE_US.
    static final double PROVEN_MARGIN = 2;
    static final double PROVEN_FADE_US = 10e6;

    private final long mostUs;
    private final Fading thrift = new Fading(THRIFT_FADE_US);

    /** The longest idle time after which a connection recently still worked. */
    private final Fading proven = new Fading(PROVEN_FADE_US);

    Idling(long mostUs) {
        this.mostUs = mostUs;
    }

    double limitUs(long now) {
        return mostUs * Math.exp(-thrift.get(now));
    }

    /** A node accepts no new connections: idle ones may fill its connection table. */
    void turnedAway(long now) {
        thrift.add(THRIFT_STEP, THRIFT_MOST, now);
    }

    /** A connection still worked after idling for this long; -1: it was new. */
    void served(long idledUs, double limitUs, long now) {
        if (idledUs > limitUs / 4) {
            thrift.add(-THRIFT_STEP, THRIFT_MOST, now);
        }
        proven.set(Math.max(proven.get(now), idledUs), now);
    }

    /**
     * Whether silence on a connection may be due to its idle time. Where others worked after about as
     * long, it is just a slow answer: otherwise slow answers would on a busy proxy close every connection
     * between any two uses, and with none idle long enough to restore trust it would stay so.
     */
    boolean silent(long idledUs, long now) {
        if (!suspect(idledUs, now)) {
            return false;
        }
        thrift.add(THRIFT_STEP, THRIFT_MOST, now);
        return true;
    }

    /** Whether a connection idled longer than others that recently still worked. */
    boolean suspect(long idledUs, long now) {
        return idledUs > PROVEN_MARGIN * proven.get(now);
    }
}
