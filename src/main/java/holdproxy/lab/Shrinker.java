package holdproxy.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reduces a scenario as long as it still breaks the same rule: fewer faults, less time, fewer nodes,
 * proxies and requests. The caller decides what breaks, so this class runs no simulation itself.
 */
final class Shrinker {
    private final Predicate<Scenario> breaks;
    private Scenario least;

    private Shrinker(Scenario whole, Predicate<Scenario> breaks) {
        this.breaks = breaks;
        least = whole;
    }

    /** The smallest scenario found, starting from one for which {@code breaks} holds. */
    static Scenario shrink(Scenario whole, Predicate<Scenario> breaks) {
        Shrinker s = new Shrinker(whole, breaks);
        while (s.withoutAFault() | s.shorter() | s.fewerNodes() | s.fewerProxies() | s.lessLoad()) {
            continue; // one reduction may make another possible
        }
        return s.least;
    }

    private boolean take(Scenario smaller) {
        if (breaks.test(smaller)) {
            least = smaller;
            return true;
        }
        return false;
    }

    private boolean withoutAFault() {
        boolean any = false;
        for (int i = least.faults().size() - 1; i >= 0; i--) {
            List<Fault> fewer = new ArrayList<>(least.faults());
            fewer.remove(i);
            any |= take(least.withFaults(fewer));
        }
        return any;
    }

    private boolean shorter() {
        double halfS = least.seconds() / 2;
        return halfS >= 1
                && least.faults().stream().allMatch(f -> f.atS() <= halfS)
                && take(least.withSeconds(halfS));
    }

    private boolean fewerNodes() {
        int fewer = least.town().nodes() / 2;
        return leavesTargets(fewer) && take(least.withTown(least.town().proxies(), fewer));
    }

    private boolean fewerProxies() {
        int fewer = least.town().proxies() / 2;
        return leavesTargets(fewer) && take(least.withTown(fewer, least.town().nodes()));
    }

    /** Whether every fault's target still exists with this many nodes or proxies. */
    private boolean leavesTargets(int fewer) {
        return fewer >= 1
                && least.faults().stream().allMatch(f -> f.kind().ofZone() || f.target() < fewer);
    }

    private boolean lessLoad() {
        double perS = least.load().ratePerS();
        return perS > 2 && take(least.withRate(perS / 2));
    }
}
