package holdproxy.simulation;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.emulator.MetaProtocolDecoder;
import holdproxy.emulator.RequestClass;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests wanted and served in time by a site's clients, and attempts sent to its nodes, in bins of half
 * a second. A wanted request counts in the bin in which it began, whenever its answer came; an attempt
 * counts in the bin in which it reached its node.
 */
final class LoadTimeSeries {
    static final double BIN_S = 0.5;
    private static final long BIN_US = (long) (BIN_S * 1e6);

    private record Want(RequestClass type, int club, long us) {}

    /** Requests per second that the nodes can serve. */
    final double capacityPerS;

    final List<Auditors.Violation> broken;
    private final double[][] wanted;
    private final double[][] inTime;
    private final double[] attempts;

    LoadTimeSeries(Scenario scenario, List<Event> events, List<Auditors.Violation> broken) {
        this.broken = broken;
        capacityPerS = SimulatedSite.capacityPerS(scenario);
        int bins = (int) Math.ceil(scenario.seconds() / BIN_S);
        int clubs = scenario.load().clubs().size();
        wanted = new double[clubs][bins];
        inTime = new double[clubs][bins];
        attempts = new double[bins];
        Map<String, Want> open = new HashMap<>();
        for (Event e : events) {
            int bin = (int) (e.us() / BIN_US);
            if (e.kind() == Event.Kind.WANTED) {
                int club = Integer.parseInt(e.host().substring(e.host().indexOf('-') + 1));
                open.put(e.id(), new Want(RequestClass.named(e.detail()), club, e.us()));
                wanted[club][bin]++;
            } else if (e.kind() == Event.Kind.ARRIVED && bin < bins) {
                attempts[bin]++;
            } else if (e.kind() == Event.Kind.ANSWERED
                    && MetaProtocolDecoder.isServed(e.detail())
                    && !e.id().isEmpty()) {
                Want w = open.remove(e.operationId());
                if (w != null && e.us() - w.us <= w.type.targetMs() * 1000L) {
                    inTime[w.club][(int) (w.us / BIN_US)]++;
                }
            }
        }
    }

    /** Runs a scenario with its auditors. */
    static LoadTimeSeries of(Scenario scenario) {
        try (SimulatedSite site = new SimulatedSite(scenario)) {
            site.run();
            List<Event> events = site.record.events();
            return new LoadTimeSeries(scenario, events, Auditors.violations(events));
        }
    }

    private static double[] sum(double[][] clubs) {
        double[] all = new double[clubs[0].length];
        for (double[] club : clubs) {
            Arrays.setAll(all, i -> all[i] + club[i]);
        }
        return all;
    }

    /** Of all clubs, by bins. */
    double[] wanted() {
        return sum(wanted);
    }

    /** Of all clubs, by bins. */
    double[] inTime() {
        return sum(inTime);
    }

    /** By bins. */
    double[] attempts() {
        return attempts.clone();
    }

    /** Requests served in time from this second on, over the nodes' capacity. */
    double shareOfCapacity(double fromS) {
        return perS(inTime(), fromS) / capacityPerS;
    }

    /** Share of a club's wanted requests, from this second on, that were served in time. */
    double share(int club, double fromS) {
        return perS(inTime[club], fromS) / Math.max(1e-9, perS(wanted[club], fromS));
    }

    /** Mean per second, from this second on. */
    static double perS(double[] bins, double fromS) {
        return Arrays.stream(bins, (int) (fromS / BIN_S), bins.length).average().orElse(0) / BIN_S;
    }

    /** Counts per whole second, from this one on. */
    static double[] bySecond(double[] bins, int fromS) {
        int each = (int) (1 / BIN_S);
        double[] seconds = new double[bins.length / each - fromS];
        Arrays.setAll(
                seconds,
                s -> Arrays.stream(bins, (s + fromS) * each, (s + fromS + 1) * each).sum());
        return seconds;
    }
}
