package holdproxy.simulation;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One fault in a simulated site. The kind decides which figures apply; the others are 0.
 *
 * @param kind what happens
 * @param atS start, in seconds from the start of the run
 * @param forS duration in seconds; 0: until the end of the run
 * @param noticedS seconds until discovery (for a node) or the front (for a proxy) notices
 * @param target number of the node, proxy, club or zone
 * @param part share of the nodes or proxies affected instead of a single one, starting with {@code
 *     target}; for a hot key, the share of reads
 * @param times factor by which a node is slower, or by which requests increase
 * @param chance probability that a message's connection is reset, or that a message is lost
 */
record Fault(
        Kind kind,
        double atS,
        double forS,
        double noticedS,
        int target,
        double part,
        double times,
        double chance) {
    /** A setting of a fault besides its start time. */
    enum Parameter {
        FOR_S,
        NOTICED_S,
        NODE,
        PROXY,
        CLUB,
        ZONE,
        PART,
        TIMES,
        CHANCE
    }

    enum Kind {
        /** A node's process dies and restarts cold after the duration. */
        CRASH(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.NODE, Parameter.PART)),
        /** A node runs slower. */
        SLOW(EnumSet.of(Parameter.FOR_S, Parameter.NODE, Parameter.PART, Parameter.TIMES)),
        /** A node is cut off from the network in both directions; no peer is notified. */
        SILENT(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.NODE, Parameter.PART)),
        /** Connections of a node are reset: before, during or after a command, or during an answer. */
        RESETS(EnumSet.of(Parameter.FOR_S, Parameter.NODE, Parameter.PART, Parameter.CHANCE)),
        /**
         * A node drains and is replaced by another that starts cold; with a share, the nodes drain one
         * after another.
         */
        REPLACE(EnumSet.of(Parameter.FOR_S, Parameter.NODE, Parameter.PART)),
        /** Operators leave a node out at every proxy, restart it meanwhile, and use it again. */
        LEAVE_OUT(EnumSet.of(Parameter.FOR_S, Parameter.NODE, Parameter.PART)),
        /** Every proxy is given settings with one attempt, and later its former settings again. */
        RETUNE(EnumSet.of(Parameter.FOR_S)),
        /** A proxy gets SIGTERM and is started again after the duration. */
        RESTART(EnumSet.of(Parameter.FOR_S, Parameter.PROXY, Parameter.PART)),
        /** A proxy dies and is started again after the duration; the front notices later. */
        KILL(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.PROXY, Parameter.PART)),
        /** A proxy's process is paused. */
        HOLD(EnumSet.of(Parameter.FOR_S, Parameter.PROXY)),
        /** Discovery answers 503 and its watches are closed. */
        DISCOVERY_DOWN(EnumSet.of(Parameter.FOR_S)),
        /** A club sends this many times its usual requests. */
        SURGE(EnumSet.of(Parameter.FOR_S, Parameter.CLUB, Parameter.TIMES)),
        /** One key receives this share of all reads. */
        HOT_KEY(EnumSet.of(Parameter.FOR_S, Parameter.PART)),
        /** All processes of a zone die, and start cold after the duration. */
        ZONE_DEAD(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.ZONE)),
        /** A zone is cut off without notice and comes back cold: its processes are restarted. */
        ZONE_LOST(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.ZONE)),
        /** A zone is cut off without notice and comes back with its state intact. */
        ZONE_SILENT(EnumSet.of(Parameter.FOR_S, Parameter.NOTICED_S, Parameter.ZONE)),
        /** A zone is partitioned from the others and keeps working internally. */
        ZONE_CUT(EnumSet.of(Parameter.FOR_S, Parameter.ZONE)),
        /** One-way partition: messages into the zone are dropped, messages out of it are delivered. */
        ZONE_CUT_IN(EnumSet.of(Parameter.FOR_S, Parameter.ZONE)),
        /** One-way partition: messages out of the zone are dropped, messages into it are delivered. */
        ZONE_CUT_OUT(EnumSet.of(Parameter.FOR_S, Parameter.ZONE)),
        /** A zone's links lose messages and are slow. */
        ZONE_GRAY(EnumSet.of(Parameter.FOR_S, Parameter.ZONE, Parameter.TIMES, Parameter.CHANCE));

        /** The kinds for a site without zones, and those that affect zones. */
        static final List<Kind> OF_TOWNS =
                Arrays.stream(values()).filter(k -> !k.affectsZone()).toList();

        static final List<Kind> OF_ZONES =
                Arrays.stream(values()).filter(Kind::affectsZone).toList();

        /** The settings that this kind accepts; the number of a node, proxy or club is required. */
        final Set<Parameter> figures;

        Kind(Set<Parameter> figures) {
            this.figures = figures;
        }

        boolean affectsZone() {
            return figures.contains(Parameter.ZONE);
        }

        /** The name used in scenario files. */
        String tomlName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** How many of this many nodes or proxies are affected. */
    int count(int all) {
        return part == 0 ? 1 : Math.max(1, (int) Math.round(part * all));
    }
}
