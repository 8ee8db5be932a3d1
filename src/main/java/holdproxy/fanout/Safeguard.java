package holdproxy.fanout;

import java.util.EnumSet;
import java.util.Set;

/**
 * Rules that the simulation disables one at a time, to show that each is needed and that its judges
 * see it.
 */
public enum Safeguard {
    /** A batch is applied only where it follows what is held. */
    PREDECESSOR_CHECK,
    /** What has a lower epoch than what is held is refused. */
    EPOCH_COMPARISON,
    /** A publication under a fencing token below the highest seen is refused. */
    FENCING_TOKEN_CHECK,
    /** A snapshot is applied only when all its parts are there. */
    WHOLE_SNAPSHOT,
    /** Catch-up is paced by a token bucket. */
    CATCH_UP_PACING,
    /** A subscriber that does not acknowledge gets no more than its credit. */
    CREDIT;

    /** All of them, as in service. */
    public static Set<Safeguard> all() {
        return EnumSet.allOf(Safeguard.class);
    }
}
