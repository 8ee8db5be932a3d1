package holdproxy.rig;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One thing that is done to the processes or links of a rig. What its kind has no use for is 0 or empty.
 *
 * @param kind what happens
 * @param atS when, in seconds from when all processes were ready
 * @param forS for how long, in seconds; 0: to the end
 * @param noticedS how much later the front notices a proxy's death, or discovery a node's
 * @param target number of the proxy or the node
 * @param from who calls on the links that are met: a name, one that ends with *, or * for all
 * @param to who is called
 * @param there what is wrong from the caller to the called
 * @param back what is wrong the other way
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
        /** A proxy is killed (SIGKILL), and started again after its time. */
        KILL,
        /** A proxy is stopped (SIGSTOP), and goes on after its time (SIGCONT). */
        HOLD,
        /** A proxy is told to end (SIGTERM), and started again so long after its end. */
        RESTART,
        /** A cache node dies, and is back cold after its time. */
        CRASH,
        /** Links have a state for a time. */
        LINK,
        /** Links refuse new connections for a time. */
        REFUSE,
        /** Every connection of links that is open is reset. */
        RESET,
        /** A daemon is killed, and started again after its time without what its folder held. */
        LOSE;

        String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        boolean ofProxy() {
            return this == KILL || this == HOLD || this == RESTART || this == LOSE;
        }

        /** Whether the front or discovery learns of it only later. */
        boolean noticed() {
            return this == KILL || this == CRASH || this == LOSE;
        }

        boolean ofLinks() {
            return this == LINK || this == REFUSE || this == RESET;
        }

        static final List<String> WORDS = Arrays.stream(values()).map(Kind::word).toList();
    }

    static RigFault process(Kind kind, double atS, double forS, double noticedS, int target) {
        return new RigFault(
                kind, atS, forS, noticedS, target, "", "", LinkState.SOUND, LinkState.SOUND);
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
