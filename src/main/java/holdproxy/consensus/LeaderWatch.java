package holdproxy.consensus;

/** Tracks when the leader was last heard from, and detects a follower stuck with a leader that is gone. */
final class LeaderWatch {
    /** Four times the longest silence of a live leader. */
    private static final long STUCK_US = 4_000_000;

    /** Consecutive checks that have to find the leader silent for that long. */
    private static final int STUCK_CHECKS = 3;

    private long heardUs;
    private boolean everHeard;
    private int silentChecks;

    /** A message of the leader has arrived, or this process has gained or lost leadership. */
    void heard(long nowUs) {
        heardUs = nowUs;
        everHeard = true;
    }

    /** The node was restarted; silence counts from now. */
    void restarted(long nowUs) {
        heardUs = nowUs;
        silentChecks = 0;
    }

    /** Time since the leader was last heard from; {@link Long#MAX_VALUE} if none ever was. */
    long silentUs(long nowUs) {
        return everHeard ? nowUs - heardUs : Long.MAX_VALUE;
    }

    /** Performs one check; true when the node, if it {@code follows} a leader, is found stuck with it. */
    boolean isStuck(boolean follows, long nowUs) {
        silentChecks = follows && nowUs - heardUs > STUCK_US ? silentChecks + 1 : 0;
        return silentChecks == STUCK_CHECKS;
    }
}
