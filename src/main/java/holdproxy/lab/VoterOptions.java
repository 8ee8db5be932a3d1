package holdproxy.lab;

import holdproxy.input.BadInput;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import picocli.CommandLine.Option;

/** Which fleets with a consensus group are played, and the hunt through their seeds. */
final class VoterOptions {
    private static final int SHOWN = 5;
    private static final int MOST_OTHERS = 40;

    /** What a hunt looks at of each play. */
    interface Outcome {
        /** Rules, by what shows it. */
        List<String> broken();

        /** Of faults that were caused. */
        Set<String> kinds();
    }

    @Option(names = "--seeds", defaultValue = "200", description = "how many (${DEFAULT-VALUE})")
    int seeds;

    @Option(names = "--from", defaultValue = "1", description = "the first (${DEFAULT-VALUE})")
    long from;

    @Option(names = "--voters", defaultValue = "5", description = "3 or 5 (${DEFAULT-VALUE})")
    int voters;

    @Option(
            names = "--others",
            defaultValue = "2",
            description = "that do not vote, and ask as well (${DEFAULT-VALUE})")
    int others;

    @Option(names = "--seconds", defaultValue = "60", description = "of each (${DEFAULT-VALUE})")
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
     * Plays each seed, says which broke a rule, and then what {@code figures} says; returns the exit code.
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
