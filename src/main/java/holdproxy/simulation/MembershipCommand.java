package holdproxy.simulation;

import holdproxy.input.BadInput;
import holdproxy.membership.Membership;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code holdproxy lab membership}: simulates group membership under faults, in virtual time. */
@Command(
        name = "membership",
        description = "Simulates group membership with faults drawn from seeds.",
        mixinStandardHelpOptions = true)
final class MembershipCommand implements Callable<Integer> {
    private static final int SHOWN = 5;
    private static final double MS = 1000;

    @Option(
            names = "--seeds",
            defaultValue = "200",
            description = "number of seeds (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
    private long from;

    @Option(
            names = "--processes",
            defaultValue = "7",
            description = "processes in the fleet (${DEFAULT-VALUE})")
    private int processes;

    @Option(
            names = "--seconds",
            defaultValue = "180",
            description = "simulated seconds per seed (${DEFAULT-VALUE})")
    private double seconds;

    @Option(names = "--without", description = "a safeguard to disable: ${COMPLETION-CANDIDATES}")
    private Membership.Safeguard without;

    @Override
    public Integer call() {
        if (seeds < 1 || processes < 2 || processes > Membership.MAX_MEMBERS || !(seconds >= 30)) {
            throw new BadInput(
                    "--seeds must be at least 1, --processes 2 to "
                            + Membership.MAX_MEMBERS
                            + ", --seconds at least 30");
        }
        Set<Membership.Safeguard> safeguards = EnumSet.allOf(Membership.Safeguard.class);
        if (without != null) {
            safeguards.remove(without);
        }
        Histogram foundMs = new Histogram(3);
        TreeMap<String, Integer> kinds = new TreeMap<>();
        long messages = 0;
        int bad = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            MembershipSimulation.Outcome outcome =
                    MembershipSimulation.play(seed, processes, seconds, safeguards);
            outcome.foundS().forEach(s -> foundMs.recordValue((long) (s * MS)));
            outcome.kinds().forEach(k -> kinds.merge(k, 1, Integer::sum));
            messages += outcome.messages();
            if (!outcome.broken().isEmpty() && bad++ < SHOWN) {
                System.out.println(
                        "seed " + seed + " " + outcome.kinds() + ": " + outcome.broken().get(0));
            }
        }
        System.out.println("faults: " + kinds);
        System.out.printf(
                Locale.ROOT,
                "a death known after %.1f s (median), %.1f s (99%%), %.1f s (most)%n",
                foundMs.getValueAtPercentile(50) / MS,
                foundMs.getValueAtPercentile(99) / MS,
                foundMs.getMaxValue() / MS);
        System.out.printf(
                Locale.ROOT,
                "%.2f messages a second and process%n",
                messages / seconds / processes / seeds);
        System.out.println(bad + " of " + seeds + " seeds broke a rule");
        return bad == 0 ? 0 : 1;
    }
}
