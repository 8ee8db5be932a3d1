package holdproxy.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reduces a scenario as long as it still breaks the same rule: fewer faults, less time, fewer nodes,
 * proxies and requests. The caller decides what breaks, so this class runs no simulation itself.
 */
final class ScenarioShrinker {
    private final Predicate<Scenario> breaks;
    private Scenario least;

    private ScenarioShrinker(Scenario whole, Predicate<Scenario> breaks) {
        this.breaks = breaks;
        least = whole;
    }

    /** The smallest scenario found, starting from one for which {@code breaks} holds. */
    static Scenario shrink(Scenario whole, Predicate<Scenario> breaks) {
        ScenarioShrinker s = new ScenarioShrinker(whole, breaks);
        while (s.dropFault() | s.shorten() | s.reduceNodes() | s.reduceProxies() | s.reduceLoad()) {
            continue; // one reduction may make another possible
        }
        return s.least;
    }

    private boolean tryReduction(Scenario smaller) {
        if (breaks.test(smaller)) {
            least = smaller;
            return true;
        }
        return false;
    }

    private boolean dropFault() {
        boolean any = false;
        for (int i = least.faults().size() - 1; i >= 0; i--) {
            List<Fault> fewer = new ArrayList<>(least.faults());
            fewer.remove(i);
            any |= tryReduction(least.withFaults(fewer));
        }
        return any;
    }

    private boolean shorten() {
        double halfS = least.seconds() / 2;
        return halfS >= 1
                && least.faults().stream().allMatch(f -> f.atS() <= halfS)
                && tryReduction(least.withSeconds(halfS));
    }

    private boolean reduceNodes() {
        int fewer = least.town().nodes() / 2;
        return keepsTargets(fewer) && tryReduction(least.withSize(least.town().proxies(), fewer));
    }

    private boolean reduceProxies() {
        int fewer = least.town().proxies() / 2;
        return keepsTargets(fewer) && tryReduction(least.withSize(fewer, least.town().nodes()));
    }

    /** Whether every fault's target still exists with this many nodes or proxies. */
    private boolean keepsTargets(int fewer) {
        return fewer >= 1
                && least.faults().stream()
                        .allMatch(f -> f.kind().affectsZone() || f.target() < fewer);
    }

    private boolean reduceLoad() {
        double perS = least.load().ratePerS();
        return perS > 2 && tryReduction(least.withRate(perS / 2));
    }
}
