package holdproxy.policy;

/** A node or the origin, as this proxy knows it. */
final class Target {
    /** A chance of being passed over fades by 1/e in this time, in quiet proxies later. */
    static final double FADE_US = 5e6;

    /** After a failed dial the next trial waits so long, twice as long after each further one. */
    static final long DOWN_FIRST_US = 500_000;

    static final long DOWN_MOST_US = 4_000_000;
    static final double BUSY_FADE_US = 10e6;

    final int id;
    int cell;
    int zone;
    int kind;
    double weight;
    Router.NodeState state;
    long startedUs = Long.MIN_VALUE;

    /** Operators have left it out. */
    boolean leftOut;

    /** When operators used it again after having left it out; it may have been started anew meanwhile. */
    private long backAt = Long.MIN_VALUE;

    /** Dials that failed running, and when the next one may be tried. */
    private int failedDials;

    private long downUntil = Long.MIN_VALUE;

    /** Our own attempts out. */
    int inFlight;

    /** Its one BLUE bucket: the chance of being passed over. */
    final Fading chance = new Fading(FADE_US);

    /** Share of its cores busy, as last reported. */
    final Fading busy = new Fading(BUSY_FADE_US);

    /** When one of our attempts last came back, leaving its connection idle; MIN_VALUE: none is open. */
    long idleSince = Long.MIN_VALUE;

    Target(int id) {
        this.id = id;
    }

    /** It took no connection: nothing is sent there for a while, longer each time. */
    void dialFailed(long now) {
        downUntil = now + Math.min(DOWN_MOST_US, DOWN_FIRST_US << Math.min(failedDials, 10));
        failedDials++;
    }

    /** Operators use it again: nothing that was learnt before holds. */
    void back(long at) {
        backAt = at;
        up();
        chance.set(0, at);
        busy.set(0, at);
        idleSince = Long.MIN_VALUE;
    }

    /** Since when it warms up; MIN_VALUE: long ago. */
    long coldSince() {
        return Math.max(startedUs, backAt);
    }

    /** It answered, or its process is a new one. */
    void up() {
        failedDials = 0;
    }

    /** Whether nothing goes there: its dials fail, and no trial is due or one is out already. */
    boolean down(long now) {
        return failedDials > 0 && (now < downUntil || inFlight > 0);
    }

    /** Whether the list and the operators let anything new go there. */
    boolean takesNew() {
        return state == Router.NodeState.READY && !leftOut;
    }

    /** For people: listed, but left out, down, or passed over by more than {@code most} beyond the usual. */
    boolean avoided(double usual, double most, long now) {
        return state != Router.NodeState.GONE
                && (leftOut || down(now) || chance.get(now) - usual > most);
    }
}
