package holdproxy.lab;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One thing that goes wrong in a town. Which figures it needs goes by its kind; the others are 0.
 *
 * @param kind what happens
 * @param atS when, in seconds from the start
 * @param forS for how long, in seconds; 0: to the end
 * @param noticedS how much later discovery (of a node) or the front (of a proxy) notices, in seconds
 * @param target number of the node, the proxy, the club or the zone
 * @param part share of the nodes or proxies instead of one, the first of them being {@code target}; of reads
 *     for a hot key
 * @param times how many times slower, or as many requests
 * @param chance of a message's connection to be reset, or of a message to be lost
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
    /** A figure beside the time at which it happens. */
    enum Figure {
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
        /** A node's process dies, comes back cold after its time. */
        CRASH(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.NODE, Figure.PART)),
        /** A node runs slower. */
        SLOW(EnumSet.of(Figure.FOR_S, Figure.NODE, Figure.PART, Figure.TIMES)),
        /** A node is cut off: nothing comes and nothing goes, and nobody is told. */
        SILENT(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.NODE, Figure.PART)),
        /** Connections of a node are reset: before, amid or after a command, or amid an answer. */
        RESETS(EnumSet.of(Figure.FOR_S, Figure.NODE, Figure.PART, Figure.CHANCE)),
        /** A node drains and is replaced by another that starts cold; a part of them one after another. */
        REPLACE(EnumSet.of(Figure.FOR_S, Figure.NODE, Figure.PART)),
        /** Operators leave a node out at every proxy, start it anew meanwhile, and use it again. */
        LEAVE_OUT(EnumSet.of(Figure.FOR_S, Figure.NODE, Figure.PART)),
        /** Every proxy is given settings with one attempt, and afterwards those of before. */
        RETUNE(EnumSet.of(Figure.FOR_S)),
        /** A proxy is told to end (SIGTERM) and started again after its time. */
        RESTART(EnumSet.of(Figure.FOR_S, Figure.PROXY, Figure.PART)),
        /** A proxy dies and is started again after its time; the front notices later. */
        KILL(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.PROXY, Figure.PART)),
        /** A proxy's process stands still. */
        HOLD(EnumSet.of(Figure.FOR_S, Figure.PROXY)),
        /** Discovery answers 503 and its watches have ended. */
        DISCOVERY_DOWN(EnumSet.of(Figure.FOR_S)),
        /** A club asks so many times as often. */
        SURGE(EnumSet.of(Figure.FOR_S, Figure.CLUB, Figure.TIMES)),
        /** One key is asked for by this part of all reads. */
        HOT_KEY(EnumSet.of(Figure.FOR_S, Figure.PART)),
        /** All processes of a zone die, and start cold after their time. */
        ZONE_DEAD(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.ZONE)),
        /** A zone falls silent, and returns cold: its processes are started anew. */
        ZONE_LOST(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.ZONE)),
        /** A zone falls silent, and returns as it was. */
        ZONE_SILENT(EnumSet.of(Figure.FOR_S, Figure.NOTICED_S, Figure.ZONE)),
        /** A zone is cut off from the others, and works on within itself. */
        ZONE_CUT(EnumSet.of(Figure.FOR_S, Figure.ZONE)),
        /** Nothing gets from the others into a zone, while what it says gets out. */
        ZONE_CUT_IN(EnumSet.of(Figure.FOR_S, Figure.ZONE)),
        /** Nothing gets from a zone to the others, while what they say gets in. */
        ZONE_CUT_OUT(EnumSet.of(Figure.FOR_S, Figure.ZONE)),
        /** A zone's links lose messages and are slow. */
        ZONE_GRAY(EnumSet.of(Figure.FOR_S, Figure.ZONE, Figure.TIMES, Figure.CHANCE));

        /** Those of a town without zones, and those of zones. */
        static final List<Kind> OF_TOWNS =
                Arrays.stream(values()).filter(k -> !k.ofZone()).toList();

        static final List<Kind> OF_ZONES = Arrays.stream(values()).filter(Kind::ofZone).toList();

        /** What such a fault may state; a node, proxy or club has to be stated. */
        final Set<Figure> figures;

        Kind(Set<Figure> figures) {
            this.figures = figures;
        }

        boolean ofZone() {
            return figures.contains(Figure.ZONE);
        }

        /** As scenario files have it. */
        String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** How many of so many nodes or proxies it meets. */
    int count(int all) {
        return part == 0 ? 1 : Math.max(1, (int) Math.round(part * all));
    }
}
