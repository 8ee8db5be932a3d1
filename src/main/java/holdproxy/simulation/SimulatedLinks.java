package holdproxy.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Faults between simulated processes, in each direction; faults may overlap. */
final class SimulatedLinks {
    private record Pair(String from, String to) {}

    private final Map<Pair, Integer> cuts = new HashMap<>();
    private final Map<Pair, Double> slow = new HashMap<>();
    private final Map<Pair, Long> late = new HashMap<>();
    private final Map<Pair, Double> lost = new HashMap<>();

    boolean cut(String from, String to) {
        return cuts.getOrDefault(new Pair(from, to), 0) > 0;
    }

    double slowUs(String from, String to) {
        return slow.getOrDefault(new Pair(from, to), 0.0);
    }

    /** The fixed additional delay of every message. */
    long lateUs(String from, String to) {
        return late.getOrDefault(new Pair(from, to), 0L);
    }

    /** Changes the fixed additional delay in one direction by this amount. */
    void late(String from, String to, long us) {
        late.merge(new Pair(from, to), us, Long::sum);
    }

    /** The fraction of messages that are lost. */
    double lost(String from, String to) {
        return lost.getOrDefault(new Pair(from, to), 0.0);
    }

    /**
     * Cuts these processes off from all others, outbound or inbound; cuts are counted, so this adds
     * (1) or removes (-1) one.
     */
    void partition(Collection<String> all, List<String> some, boolean out, boolean in, int by) {
        for (String one : some) {
            for (String other : all) {
                if (some.contains(other)) {
                    continue;
                }
                if (out) {
                    cuts.merge(new Pair(one, other), by, Integer::sum);
                }
                if (in) {
                    cuts.merge(new Pair(other, one), by, Integer::sum);
                }
            }
        }
    }

    /** Changes the random additional delay between these two, in both directions. */
    void slow(String one, String other, double us) {
        slow.merge(new Pair(one, other), us, Double::sum);
        slow.merge(new Pair(other, one), us, Double::sum);
    }

    /** Changes the loss between these two, in both directions. */
    void lose(String one, String other, double part) {
        lost.merge(new Pair(one, other), part, Double::sum);
        lost.merge(new Pair(other, one), part, Double::sum);
    }
}
