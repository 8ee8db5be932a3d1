package holdproxy.simulation;

import holdproxy.input.BadInput;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import picocli.CommandLine.Option;

/** Options for the simulated fleets with a consensus group, and the loop over their seeds. */
final class ConsensusFleetOptions {
    private static final int SHOWN = 5;
    private static final int MOST_OTHERS = 40;

    /** What is reported of each run. */
    interface Outcome {
        /** Violated rules, each with the evidence. */
        List<String> broken();

        /** Kinds of faults that were injected. */
        Set<String> kinds();
    }

    @Option(
            names = "--seeds",
            defaultValue = "200",
            description = "number of seeds (${DEFAULT-VALUE})")
    int seeds;

    @Option(names = "--from", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
    long from;

    @Option(
            names = "--voters",
            defaultValue = "5",
            description = "number of voters, 3 or 5 (${DEFAULT-VALUE})")
    int voters;

    @Option(
            names = "--others",
            defaultValue = "2",
            description = "non-voting processes that also submit requests (${DEFAULT-VALUE})")
    int others;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "simulated seconds per seed (${DEFAULT-VALUE})")
    double seconds;

    void check() {
        if (seeds < 1
                || voters != 3 && voters != 5
                || others < 0
                || others > MOST_OTHERS
                || !(seconds >= 30)) {
            throw new BadInput(
                    "--seeds must be at least 1, --voters 3 or 5, --others 0 to "
                            + MOST_OTHERS
                            + ", --seconds at least 30");
        }
    }

    /**
     * Runs each seed, prints those that violated a rule, and then the output of {@code figures};
     * returns the exit code.
     */
    int hunt(LongFunction<? extends Outcome> play, Runnable figures) {
        TreeMap<String, Integer> kinds = new TreeMap<>();
        int bad = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            Outcome outcome = play.apply(seed);
            outcome.kinds().forEach(k -> kinds.merge(k, 1, Integer::sum));
            if (!outcome.broken().isEmpty() && bad++ < SHOWN) {
                System.out.println(
                        "seed "
                                + seed
                                + " "
                                + outcome.kinds()
                                + ": "
                                + outcome.broken().size()
                                + " times, first: "
                                + outcome.broken().get(0));
            }
        }
        System.out.println("faults: " + kinds);
        figures.run();
        System.out.println(bad + " of " + seeds + " seeds broke a rule");
        return bad == 0 ? 0 : 1;
    }
}
