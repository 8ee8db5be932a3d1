package holdproxy.policy;

/** How long a connection may idle before it is no longer trusted, by what came of those that had idled. */
final class Idling {
    // Connections: a failure cuts the time that one may idle by e, a use of one that had idled wins
    // it back.
    static final double THRIFT_STEP = 1;
    static final double THRIFT_MOST = 12;
    static final double THRIFT_FADE_US = 60e6;
    // Silence tells of idling only beyond so many times what others came back from in about this
    // time.
    static final double PROVEN_MARGIN = 2;
    static final double PROVEN_FADE_US = 10e6;

    private final long mostUs;
    private final Fading thrift = new Fading(THRIFT_FADE_US);

    /** The longest idling after which a connection served lately. */
    private final Fading proven = new Fading(PROVEN_FADE_US);

    Idling(long mostUs) {
        this.mostUs = mostUs;
    }

    double limitUs(long now) {
        return mostUs * Math.exp(-thrift.get(now));
    }

    /** A node takes no new connections: all its places may be held by idle ones. */
    void turnedAway(long now) {
        thrift.add(THRIFT_STEP, THRIFT_MOST, now);
    }

    /** A connection served after idling so long; -1: it was new. */
    void served(long idledUs, double limitUs, long now) {
        if (idledUs > limitUs / 4) {
            thrift.add(-THRIFT_STEP, THRIFT_MOST, now);
        }
        proven.set(Math.max(proven.get(now), idledUs), now);
    }

    /**
     * Whether silence on a connection that idled so long may come of that. Where others came back from about
     * as much it is a slow answer: on a busy proxy such would else close every connection between any two
     * uses, and with none idle long enough to win trust back it would stay so.
     */
    boolean silent(long idledUs, long now) {
        if (!suspect(idledUs, now)) {
            return false;
        }
        thrift.add(THRIFT_STEP, THRIFT_MOST, now);
        return true;
    }

    /** Whether a connection idled beyond what others came back from lately. */
    boolean suspect(long idledUs, long now) {
        return idledUs > PROVEN_MARGIN * proven.get(now);
    }
}
