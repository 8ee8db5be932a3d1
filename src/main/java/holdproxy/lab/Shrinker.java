package holdproxy.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Makes a scenario smaller as long as it still breaks the same rule: fewer faults, less time, fewer nodes,
 * proxies and requests. What breaks is asked of whoever calls, so that this decides without playing.
 */
final class Shrinker {
    private final Predicate<Scenario> breaks;
    private Scenario least;

    private Shrinker(Scenario whole, Predicate<Scenario> breaks) {
        this.breaks = breaks;
        least = whole;
    }

    /** The smallest found from one that {@code breaks}. */
    static Scenario shrink(Scenario whole, Predicate<Scenario> breaks) {
        Shrinker s = new Shrinker(whole, breaks);
        while (s.withoutAFault() | s.shorter() | s.fewerNodes() | s.fewerProxies() | s.lessLoad()) {
            continue; // what one step took away may let another go further
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
        Scenario s = least;
        double halfS = s.seconds() / 2;
        return halfS >= 1 && s.faults().stream().allMatch(f -> f.atS() <= halfS)
            && take(new Scenario(s.name(), s.seed(), halfS, s.town(), s.load(), s.faults()));
    }

    private boolean fewerNodes() {
        Scenario.Size t = least.town();
        int fewer = t.nodes() / 2;
        return fewer >= 1 && least.faults().stream().allMatch(f -> f.target() < fewer)
            && take(with(least, size(t, t.proxies(), fewer)));
    }

    private boolean fewerProxies() {
        Scenario.Size t = least.town();
        int fewer = t.proxies() / 2;
        return fewer >= 1 && least.faults().stream().allMatch(f -> f.target() < fewer)
            && take(with(least, size(t, fewer, t.nodes())));
    }

    private static Scenario.Size size(Scenario.Size t, int proxies, int nodes) {
        return new Scenario.Size(proxies, nodes, t.slots(), t.queue(), t.memory(), t.ttlS(), t.connections(),
            t.handshakeMs(), t.coldFrom(), t.coldS(), t.originMs(), t.originSlots());
    }

    private static Scenario with(Scenario s, Scenario.Size town) {
        return new Scenario(s.name(), s.seed(), s.seconds(), town, s.load(), s.faults());
    }

    private boolean lessLoad() {
        Scenario s = least;
        Scenario.Load l = s.load();
        return l.ratePerS() > 2 && take(new Scenario(s.name(), s.seed(), s.seconds(), s.town(),
            new Scenario.Load(
            l.ratePerS() / 2, l.workMs(), l.keys(), l.zipf(), l.retries(), l.clubs()), s.faults()));
    }
}
