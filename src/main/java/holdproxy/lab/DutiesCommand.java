package holdproxy.lab;

import holdproxy.duties.Duties;
import holdproxy.input.BadInput;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code holdproxy lab duties}: duties under faults, in virtual time. */
@Command(name = "duties", description = "Duties that one process holds, under faults drawn by seeds.",
    mixinStandardHelpOptions = true)
final class DutiesCommand implements Callable<Integer> {
    private static final int SHOWN = 5;
    private static final int MOST_OTHERS = 40;

    @Option(names = "--seeds", defaultValue = "200", description = "how many (${DEFAULT-VALUE})")
    private int seeds;
    @Option(names = "--from", defaultValue = "1", description = "the first (${DEFAULT-VALUE})")
    private long from;
    @Option(names = "--voters", defaultValue = "5", description = "3 or 5 (${DEFAULT-VALUE})")
    private int voters;
    @Option(names = "--others", defaultValue = "2", description = "that want duties too (${DEFAULT-VALUE})")
    private int others;
    @Option(names = "--seconds", defaultValue = "60", description = "of each (${DEFAULT-VALUE})")
    private double seconds;
    @Option(names = "--without", description = "a guard to do without: ${COMPLETION-CANDIDATES}")
    private Duties.Guard without;
    @Option(names = "--unguarded", description = "the resource does not look at tokens")
    private boolean unguarded;

    @Option(names = "--table", description = "how long a duty is without a holder, by lease and cause")
    private boolean table;

    /** Floors: a lease is renewed each third of its length, and ends for others after it and the bound. */
    private void table() {
        System.out.println("lease  cause    p50 ms    p99 ms  worst ms   wanted ms   floor ms");
        for (int leaseMs : new int[] {1_000, 3_000, 10_000}) {
            for (DutiesTrial.Cause cause : DutiesTrial.Cause.values()) {
                Histogram ms = new Histogram(3);
                for (long seed = from; seed < from + seeds; seed++) {
                    ms.recordValue(Math.round(DutiesTrial.withoutHolderMs(seed, leaseMs, cause)));
                }
                boolean planned = cause == DutiesTrial.Cause.PLANNED;
                System.out.printf(Locale.ROOT, "%3d s  %-8s %6d    %6d    %6d   %9s   %s%n", leaseMs / 1000,
                    cause.name().toLowerCase(Locale.ROOT), ms.getValueAtPercentile(50),
                    ms.getValueAtPercentile(99), ms.getMaxValue(), planned ? 100 : leaseMs + 1000,
                    planned ? "two agreements and a message" : Math.round(leaseMs * (1.05 - 1.0 / 3)) + " to "
                        + Math.round(leaseMs * 1.05));
            }
        }
    }

    @Override
    public Integer call() {
        if (seeds < 1 || voters != 3 && voters != 5 || others < 0 || others > MOST_OTHERS
                || !(seconds >= 30)) {
            throw new BadInput("--seeds must be at least 1, --voters 3 or 5, --others 0 to " + MOST_OTHERS
                + ", --seconds at least 30");
        }
        if (table) {
            table();
            return 0;
        }
        Set<Duties.Guard> guards = EnumSet.allOf(Duties.Guard.class);
        if (without != null) {
            guards.remove(without);
        }
        TreeMap<String, Integer> kinds = new TreeMap<>();
        Histogram freeMs = new Histogram(3);
        long acts = 0;
        long refused = 0;
        int bad = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            DutiesTrial.Outcome outcome = DutiesTrial.play(seed, voters, others, seconds, guards, !unguarded);
            outcome.kinds().forEach(k -> kinds.merge(k, 1, Integer::sum));
            outcome.freeMs().forEach(freeMs::recordValue);
            acts += outcome.acts();
            refused += outcome.refused();
            if (!outcome.broken().isEmpty() && bad++ < SHOWN) {
                System.out.println("seed " + seed + " " + outcome.kinds() + ": " + outcome.broken().size()
                    + " times, first: " + outcome.broken().get(0));
            }
        }
        System.out.println("faults: " + kinds);
        System.out.println(acts + " acts, " + refused + " turned down for their token");
        System.out.printf(Locale.ROOT, "a duty was free for %d ms (median), %d ms (99%%), %d ms (most)%n",
            freeMs.getValueAtPercentile(50), freeMs.getValueAtPercentile(99), freeMs.getMaxValue());
        System.out.println(bad + " of " + seeds + " seeds broke a rule");
        return bad == 0 ? 0 : 1;
    }
}
