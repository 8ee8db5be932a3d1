package holdproxy.harness;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One fault in the processes or links of a rig. Fields that do not apply to its kind are 0 or empty.
 *
 * @param kind what happens
 * @param atS start, in seconds after all processes were ready
 * @param forS duration in seconds; 0: until the end
 * @param noticedS seconds until the front notices a proxy's death, or discovery a node's
 * @param target number of the proxy or the node
 * @param from caller of the affected links: a name, a prefix with *, or * for all
 * @param to callee of the affected links, as {@code from}
 * @param there state of the direction from caller to callee
 * @param back state of the opposite direction
 */
record RigFault(
        Kind kind,
        double atS,
        double forS,
        double noticedS,
        int target,
        String from,
        String to,
        LinkState there,
        LinkState back) {
    enum Kind {
        /** A proxy is killed (SIGKILL) and started again after {@code forS}. */
        KILL,
        /** A proxy is stopped (SIGSTOP) and resumed after {@code forS} (SIGCONT). */
        HOLD,
        /** A proxy is terminated (SIGTERM) and started again {@code forS} after its exit. */
        RESTART,
        /** A cache node dies and starts again with a cold cache after {@code forS}. */
        CRASH,
        /** Links have a faulty state for {@code forS}. */
        LINK,
        /** Links refuse new connections for {@code forS}. */
        REFUSE,
        /** All open connections of links are reset. */
        RESET,
        /** A daemon is killed, and started again after {@code forS} with an empty data folder. */
        LOSE;

        String configName() {
            return name().toLowerCase(Locale.ROOT);
        }

        boolean targetsProxy() {
            return this == KILL || this == HOLD || this == RESTART || this == LOSE;
        }

        /** Whether the front or discovery notices it only after {@code noticedS}. */
        boolean hasNoticeDelay() {
            return this == KILL || this == CRASH || this == LOSE;
        }

        boolean targetsLinks() {
            return this == LINK || this == REFUSE || this == RESET;
        }

        static final List<String> CONFIG_NAMES =
                Arrays.stream(values()).map(Kind::configName).toList();
    }

    static RigFault process(Kind kind, double atS, double forS, double noticedS, int target) {
        return new RigFault(
                kind, atS, forS, noticedS, target, "", "", LinkState.HEALTHY, LinkState.HEALTHY);
    }

    static RigFault links(
            Kind kind,
            double atS,
            double forS,
            String from,
            String to,
            LinkState there,
            LinkState back) {
        return new RigFault(kind, atS, forS, 0, 0, from, to, there, back);
    }
}
