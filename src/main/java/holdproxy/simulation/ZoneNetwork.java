package holdproxy.simulation;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The zones of a simulated site, and the state of the links between them. A whole zone can be silent;
 * each link has a direction, and can be cut, lose messages or be slow. {@link #NOWHERE} stands for hosts
 * outside all zones: they are equally near to all, and only a zone's own silence cuts it off from them.
 */
final class ZoneNetwork {
    static final int NOWHERE = -1;
    static final int MOST = 8;
    private static final List<String> NAMES =
            List.of(
                    "room-north",
                    "room-south",
                    "room-east",
                    "room-west",
                    "room-hill",
                    "room-harbour",
                    "room-school",
                    "room-market");

    /** Extra delay of a lost message for TCP's retransmission: the first, doubled at each repetition. */
    private static final long AGAIN_US = 200_000;

    private static final int AGAIN_MOST = 6;

    /** The present state of a link. */
    private static final class Way {
        private long delayUs;
        private boolean cut;
        private double lost;
        private double times = 1;
    }

    private final Way[][] ways;
    private final boolean[] silent;
    private final SplittableRandom random;

    /**
     * {@code delaysMs}: for each pair, in the order 0-1, 0-2, .., 1-2, ..; or one value for all pairs.
     */
    ZoneNetwork(int count, List<Double> delaysMs, SplittableRandom random) {
        this.random = random;
        silent = new boolean[count];
        ways = new Way[count][count];
        int pair = 0;
        for (int a = 0; a < count; a++) {
            ways[a][a] = new Way();
            for (int b = a + 1; b < count; b++) {
                ways[a][b] = new Way();
                ways[b][a] = new Way();
                ways[a][b].delayUs = (long) (delaysMs.get(delaysMs.size() == 1 ? 0 : pair) * 1000);
                ways[b][a].delayUs = ways[a][b].delayUs;
                pair++;
            }
        }
    }

    static int pairs(int count) {
        return count * (count - 1) / 2;
    }

    int count() {
        return silent.length;
    }

    static List<String> names(int count) {
        return NAMES.subList(0, count);
    }

    /** The zone of the i-th item: round robin, so that consecutive items spread over all zones. */
    int of(int i) {
        return i % silent.length;
    }

    void silent(int zone, boolean now) {
        silent[zone] = now;
    }

    boolean silent(int zone) {
        return zone != NOWHERE && silent[zone];
    }

    /** Cuts all links out of a zone, or all links into it. */
    void cut(int zone, boolean inwards, boolean now) {
        forEachLink(zone, inwards, way -> way.cut = now);
    }

    /** Each message from and to a zone is lost with this probability, and its delay is multiplied. */
    void degradeLinks(int zone, double lost, double times) {
        for (boolean inwards : new boolean[] {true, false}) {
            forEachLink(
                    zone,
                    inwards,
                    way -> {
                        way.lost = lost;
                        way.times = times;
                    });
        }
    }

    private void forEachLink(int zone, boolean inwards, Consumer<Way> change) {
        for (int other = 0; other < silent.length; other++) {
            if (other != zone) {
                change.accept(inwards ? ways[other][zone] : ways[zone][other]);
            }
        }
    }

    boolean cut(int from, int to) {
        return from != NOWHERE && to != NOWHERE && ways[from][to].cut;
    }

    /** Extra delay between two zones for a message with its {@code ownUs}, in microseconds. */
    long addedUs(int from, int to, long ownUs) {
        if (from == NOWHERE || to == NOWHERE) {
            return 0;
        }
        Way way = ways[from][to];
        long us = (long) (way.delayUs * way.times + ownUs * (way.times - 1));
        for (int i = 0; way.lost > 0 && i < AGAIN_MOST && random.nextDouble() < way.lost; i++) {
            us += AGAIN_US << i;
        }
        return us;
    }

    /** Whether a late or lost message is due to a simulated fault. */
    boolean isAffectedByFault(int from, int to) {
        return silent(from)
                || silent(to)
                || from != NOWHERE
                        && to != NOWHERE
                        && (ways[from][to].cut
                                || ways[from][to].lost > 0
                                || ways[from][to].times > 1);
    }
}
