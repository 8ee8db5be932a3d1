package holdproxy.policy;

/**
 * Counters of what a routing module did and why, since its start. They affect no decision: the process
 * logs them for monitoring a whole fleet.
 */
public final class PolicyCounters {
    /** The counters; their names appear in the log. */
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

        /** The name as written to the log. */
        public final String label = name().toLowerCase(java.util.Locale.ROOT);
    }

    private static final Count[] ALL = Count.values();
    private final long[] counts = new long[ALL.length];

    void add(Count what) {
        counts[what.ordinal()]++;
    }

    /**
     * The non-zero increases since {@code since} as {@code name=count}; sets {@code since} to the present
     * counts.
     */
    public String takeIncreases(PolicyCounters since) {
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
