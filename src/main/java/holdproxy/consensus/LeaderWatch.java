package holdproxy.consensus;

/** When the leader was last heard, and whether a follower waits in vain for one that is gone. */
final class LeaderWatch {
    /** Four times as long as a leader may be silent. */
    private static final long STUCK_US = 4_000_000;

    /** Looks in turn that have to find it silent for that long. */
    private static final int STUCK_LOOKS = 3;

    private long heardUs;
    private boolean everHeard;
    private int silentLooks;

    /** The leader has said something, or leadership has changed at this process. */
    void heard(long nowUs) {
        heardUs = nowUs;
        everHeard = true;
    }

    /** The node begins again: its silence counts from here. */
    void restarted(long nowUs) {
        heardUs = nowUs;
        silentLooks = 0;
    }

    /** For how long the leader has been silent; {@link Long#MAX_VALUE} where none was ever heard. */
    long silentUs(long nowUs) {
        return everHeard ? nowUs - heardUs : Long.MAX_VALUE;
    }

    /** One more look; {@code follows}: whether the node follows a leader. True once it is stuck with it. */
    boolean isStuck(boolean follows, long nowUs) {
        silentLooks = follows && nowUs - heardUs > STUCK_US ? silentLooks + 1 : 0;
        return silentLooks == STUCK_LOOKS;
    }
}
