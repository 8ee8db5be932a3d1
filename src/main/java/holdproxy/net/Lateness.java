package holdproxy.net;

/**
 * How late the event loop runs, told by a tick that is due at even intervals: in a pause of the collector, of
 * the machine, or of a start that is short of processor time, nothing is read and no timer runs. Times in
 * microseconds on the clock of {@link Time}; they are handed in and never go back.
 */
final class Lateness {
    /** The interval at which {@link #ticked} is due. */
    static final long TICK_US = 20_000;

    private static final long JUST_US = 5_000;

    private long dueUs;
    private long lastTickUs;
    private long lastLateUs;
    private long totalUs;

    Lateness(long now) {
        lastTickUs = now;
        dueUs = now + TICK_US;
    }

    /** The tick ran; the next one is due {@link #TICK_US} from now. */
    void ticked(long now) {
        lastLateUs = Math.max(0, now - dueUs);
        totalUs += lastLateUs;
        lastTickUs = now;
        dueUs = now + TICK_US;
    }

    /**
     * For how long the loop stood still just before this, 0 for less than a tick: what is read now may have
     * waited so long. Input is mostly read before timers run, and then the tick is still overdue; where it
     * ran first, it has just been late.
     */
    long justNowUs(long now) {
        long late = now - lastTickUs < JUST_US ? Math.max(lastLateUs, now - dueUs) : now - dueUs;
        return late > TICK_US ? late : 0;
    }

    /**
     * How long ago the last tick that has run was due. The sockets have been read in full since then, or
     * {@link #TICK_US} before it: input that is older than that in sum cannot lie unread.
     */
    long sinceDueUs(long now) {
        return now - lastTickUs + lastLateUs;
    }

    /** All time that the loop has stood still so far: a second clock, to take a difference of. */
    long totalUs(long now) {
        return totalUs + Math.max(0, now - dueUs);
    }
}
