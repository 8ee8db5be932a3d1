package holdproxy.simulation;

import holdproxy.lease.LeaseClient;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code holdproxy lab leases}: simulates leases under faults, in virtual time. */
@Command(
        name = "leases",
        description = "Simulates exclusive leases with faults drawn from seeds.",
        mixinStandardHelpOptions = true)
final class LeaseCommand implements Callable<Integer> {
    @Mixin private ConsensusFleetOptions options;

    @Option(names = "--without", description = "a safeguard to disable: ${COMPLETION-CANDIDATES}")
    private LeaseClient.Safeguard without;

    @Option(names = "--unguarded", description = "the resource does not check tokens")
    private boolean unguarded;

    @Option(
            names = "--table",
            description = "print the time without a holder, by lease duration and cause")
    private boolean table;

    /**
     * Lower bounds: a lease is renewed every third of its duration, and expires for others after
     * its duration plus the clock bound.
     */
    private void table() {
        System.out.println("lease  cause    p50 ms    p99 ms  worst ms   wanted ms   floor ms");
        for (int leaseMs : new int[] {1_000, 3_000, 10_000}) {
            for (LeaseSimulation.Cause cause : LeaseSimulation.Cause.values()) {
                Histogram ms = new Histogram(3);
                for (long seed = options.from; seed < options.from + options.seeds; seed++) {
                    ms.recordValue(
                            Math.round(LeaseSimulation.withoutHolderMs(seed, leaseMs, cause)));
                }
                boolean planned = cause == LeaseSimulation.Cause.PLANNED;
                System.out.printf(
                        Locale.ROOT,
                        "%3d s  %-8s %6d    %6d    %6d   %9s   %s%n",
                        leaseMs / 1000,
                        cause.name().toLowerCase(Locale.ROOT),
                        ms.getValueAtPercentile(50),
                        ms.getValueAtPercentile(99),
                        ms.getMaxValue(),
                        planned ? 100 : leaseMs + 1000,
                        planned
                                ? "two agreements and a message"
                                : Math.round(leaseMs * (1.05 - 1.0 / 3))
                                        + " to "
                                        + Math.round(leaseMs * 1.05));
            }
        }
    }

    @Override
    public Integer call() {
        options.check();
        if (table) {
            table();
            return 0;
        }
        Set<LeaseClient.Safeguard> safeguards = EnumSet.allOf(LeaseClient.Safeguard.class);
        if (without != null) {
            safeguards.remove(without);
        }
        Histogram freeMs = new Histogram(3);
        LongAdder acts = new LongAdder();
        LongAdder refused = new LongAdder();
        return options.hunt(
                seed -> {
                    LeaseSimulation.Outcome outcome =
                            LeaseSimulation.play(
                                    seed,
                                    options.voters,
                                    options.others,
                                    options.seconds,
                                    safeguards,
                                    !unguarded);
                    outcome.freeMs().forEach(freeMs::recordValue);
                    acts.add(outcome.acts());
                    refused.add(outcome.refused());
                    return outcome;
                },
                () -> {
                    System.out.println(acts + " acts, " + refused + " turned down for their token");
                    System.out.printf(
                            Locale.ROOT,
                            "a lease was free for %d ms (median), %d ms (99%%), %d ms (most)%n",
                            freeMs.getValueAtPercentile(50),
                            freeMs.getValueAtPercentile(99),
                            freeMs.getMaxValue());
                });
    }
}
