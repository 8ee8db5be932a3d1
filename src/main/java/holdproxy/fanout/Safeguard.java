package holdproxy.fanout;

import java.util.EnumSet;
import java.util.Set;

/**
 * Protocol rules that the simulation disables one at a time, to show that each rule is needed and
 * that the simulation's checks detect its absence.
 */
public enum Safeguard {
    /** A batch is applied only if it follows the position held. */
    PREDECESSOR_CHECK,
    /** Data with a lower epoch than the position held is refused. */
    EPOCH_COMPARISON,
    /** A publication with a fencing token below the highest seen is refused. */
    FENCING_TOKEN_CHECK,
    /** A snapshot is applied only once all its parts have been received. */
    WHOLE_SNAPSHOT,
    /** Catch-up traffic is limited by a token bucket. */
    CATCH_UP_PACING,
    /** A subscriber that does not acknowledge is sent no more than its credit. */
    CREDIT;

    /** All rules, as used in production. */
    public static Set<Safeguard> all() {
        return EnumSet.allOf(Safeguard.class);
    }
}
