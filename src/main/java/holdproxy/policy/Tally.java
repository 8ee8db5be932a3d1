package holdproxy.policy;

/**
 * What a module did and why, counted since its start. It decides nothing: whoever carries the module reads it
 * for people who count over a whole fleet.
 */
public final class Tally {
    /** What is counted; the names are those of the log. */
    public enum Count {
        REQUESTS,
        REPEATS,
        REFUSED_BY_CHANCE,
        REFUSED_WITHOUT_BUDGET,
        REFUSED_WITHOUT_NODE,
        REFUSED_WITHOUT_TIME,
        FAILED,
        ATTEMPTS,
        FURTHER,
        COPIES,
        COPIES_WITHOUT_BUDGET,
        SERVED,
        LATE,
        ERRORS,
        OVERLOADED,
        TIMEOUTS,
        CONNECT_FAILED,
        RESETS,
        DOWN,
        HELD_FROM_COLD,
        PASSED_OVER,
        SENT_COLD,
        IDLE_CLOSED,
        LISTS,
        LISTS_FAILED;

        /** As the log has it. */
        public final String label = name().toLowerCase(java.util.Locale.ROOT);
    }

    private static final Count[] ALL = Count.values();
    private final long[] counts = new long[ALL.length];

    void add(Count what) {
        counts[what.ordinal()]++;
    }

    /** All that is not 0 as {@code name=count}, each less what {@code since} had; which then has the same. */
    public String sinceThen(Tally since) {
        StringBuilder text = new StringBuilder();
        for (Count c : ALL) {
            long more = counts[c.ordinal()] - since.counts[c.ordinal()];
            if (more != 0) {
                text.append(' ').append(c.label).append('=').append(more);
            }
            since.counts[c.ordinal()] = counts[c.ordinal()];
        }
        return text.toString();
    }
}
