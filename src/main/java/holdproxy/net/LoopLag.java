package holdproxy.net;

/**
 * Measures how late the event loop runs, by a tick that is due at regular intervals. During a pause of the
 * garbage collector or of the machine, or while a start lacks processor time, no input is read and no timer
 * runs. All times are microseconds on the clock of {@link Clock}; callers pass them in, and they never go
 * back.
 */
final class LoopLag {
    static final long TICK_US = 20_000;

    /** A tick within this time before a read counts as part of the same pause. */
    private static final long RECENT_US = 5_000;

    private long dueUs;
    private long lastTickUs;
    private long lastLateUs;
    private long totalUs;

    LoopLag(long now) {
        lastTickUs = now;
        dueUs = now + TICK_US;
    }

    /** Records that the tick ran; the next one is due {@link #TICK_US} from now. */
    void ticked(long now) {
        lastLateUs = Math.max(0, now - dueUs);
        totalUs += lastLateUs;
        lastTickUs = now;
        dueUs = now + TICK_US;
    }

    /**
     * How long the loop was stalled just before now, which is how long input read now may have waited; 0
     * for less than a tick. Input is mostly read before timers run, so that the tick is still overdue; if
     * the tick ran first, it was late within the last {@link #RECENT_US}.
     */
    long recentUs(long now) {
        long late = now - lastTickUs < RECENT_US ? Math.max(lastLateUs, now - dueUs) : now - dueUs;
        return late > TICK_US ? late : 0;
    }

    /**
     * How long ago the last tick that has run was due. All sockets have been read at that time or at most
     * {@link #TICK_US} before it, so no unread input is older than the sum of both.
     */
    long sinceLastDueUs(long now) {
        return now - lastTickUs + lastLateUs;
    }

    /**
     * Total time that the loop has been stalled; the difference of two readings gives that of an interval.
     */
    long totalUs(long now) {
        return totalUs + Math.max(0, now - dueUs);
    }
}
