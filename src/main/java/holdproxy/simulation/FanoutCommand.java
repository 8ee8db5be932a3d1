package holdproxy.simulation;

import holdproxy.fanout.Safeguard;
import holdproxy.input.BadInput;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code holdproxy lab fanout}: simulates the fan-out of configuration changes under faults, in
 * virtual time.
 */
@Command(
        name = "fanout",
        description =
                "Simulates the fan-out of changes to all proxies, with faults drawn from seeds.",
        mixinStandardHelpOptions = true)
final class FanoutCommand implements Callable<Integer> {
    private static final int SHOWN = 5;
    private static final double MS = 1000;

    @Option(
            names = "--seeds",
            defaultValue = "200",
            description = "number of seeds (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
    private long from;

    @Option(names = "--without", description = "a safeguard to disable: ${COMPLETION-CANDIDATES}")
    private Safeguard without;

    @Option(names = "--table", description = "print propagation times by relay fault")
    private boolean table;

    @Override
    public Integer call() {
        if (seeds < 1) {
            throw new BadInput("--seeds must be at least 1");
        }
        if (table) {
            printTable();
            return 0;
        }
        Set<Safeguard> safeguards = Safeguard.all();
        if (without != null) {
            safeguards.remove(without);
        }
        return hunt(safeguards);
    }

    private int hunt(Set<Safeguard> safeguards) {
        TreeMap<FanoutFault, Integer> faults = new TreeMap<>();
        long publications = 0;
        long refused = 0;
        long proxies = 0;
        long mostBytes = 0;
        Histogram caughtUpMs = new Histogram(3);
        int bad = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            FanoutSimulation.Outcome outcome = FanoutSimulation.play(seed, safeguards);
            outcome.faults().forEach(fault -> faults.merge(fault, 1, Integer::sum));
            publications += outcome.publications();
            refused += outcome.refused();
            proxies += outcome.proxies();
            outcome.caughtUpMs().forEach(caughtUpMs::recordValue);
            mostBytes = Math.max(mostBytes, outcome.mostBytesASecond());
            if (!outcome.broken().isEmpty() && bad++ < SHOWN) {
                System.out.println(
                        "seed "
                                + seed
                                + " "
                                + outcome.faults()
                                + ": "
                                + outcome.broken().size()
                                + " times, first: "
                                + outcome.broken().get(0));
            }
        }
        System.out.println("faults: " + faults);
        System.out.printf(
                Locale.ROOT,
                "%.0f proxies in the mean, %d publications, %d refused for their token%n",
                (double) proxies / seeds,
                publications,
                refused);
        System.out.printf(
                Locale.ROOT,
                "%d regions back: all proxies current after %.1f s (median), %.1f s (most); a"
                        + " control machine sent %d bytes in a second at most%n",
                caughtUpMs.getTotalCount(),
                caughtUpMs.getValueAtPercentile(50) / MS,
                caughtUpMs.getMaxValue() / MS,
                mostBytes);
        System.out.println(bad + " of " + seeds + " seeds broke a rule");
        return bad == 0 ? 0 : 1;
    }

    /** Prints the time from the commit of a change to its coming into force at each proxy. */
    private void printTable() {
        System.out.println("fault              values   p50 s   p99 s  p99.9 s  worst s");
        List<FanoutFault> rows = new ArrayList<>(Arrays.asList((FanoutFault) null));
        rows.addAll(
                List.of(
                        FanoutFault.RELAY_KILLED,
                        FanoutFault.RELAY_VANISHED,
                        FanoutFault.RELAY_STOPPED,
                        FanoutFault.RELAY_CUT_ONE_WAY,
                        FanoutFault.CONTROL_LOST));
        for (FanoutFault fault : rows) {
            Histogram ms = new Histogram(3);
            for (long seed = from; seed < from + seeds; seed++) {
                FanoutSimulation.recordInForce(
                        seed, new FanoutSimulation.Shape(3, 3, 13), fault, ms);
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-17s %7d  %6.3f  %6.3f   %6.3f   %6.3f%n",
                    fault == null ? "none" : fault.name().toLowerCase(Locale.ROOT),
                    ms.getTotalCount(),
                    ms.getValueAtPercentile(50) / MS,
                    ms.getValueAtPercentile(99) / MS,
                    ms.getValueAtPercentile(99.9) / MS,
                    ms.getMaxValue() / MS);
        }
    }
}
