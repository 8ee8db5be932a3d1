package holdproxy.lab;

import holdproxy.input.BadInput;
import java.util.EnumSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code holdproxy lab council}: councils under faults, in virtual time. */
@Command(name = "council", description = "Councils that agree on a log, under faults drawn by seeds.",
    mixinStandardHelpOptions = true)
final class CouncilCommand implements Callable<Integer> {
    private static final int SHOWN = 5;
    private static final int MOST_OTHERS = 40;

    @Option(names = "--seeds", defaultValue = "200", description = "how many (${DEFAULT-VALUE})")
    private int seeds;
    @Option(names = "--from", defaultValue = "1", description = "the first (${DEFAULT-VALUE})")
    private long from;
    @Option(names = "--voters", defaultValue = "5", description = "3 or 5 (${DEFAULT-VALUE})")
    private int voters;
    @Option(names = "--others", defaultValue = "2", description = "that ask (${DEFAULT-VALUE})")
    private int others;
    @Option(names = "--seconds", defaultValue = "60", description = "of each (${DEFAULT-VALUE})")
    private double seconds;
    @Option(names = "--planted", description = "a fault of the program's: ${COMPLETION-CANDIDATES}")
    private CouncilTrial.Planted planted;

    @Override
    public Integer call() {
        if (seeds < 1 || voters != 3 && voters != 5 || others < 0 || others > MOST_OTHERS
                || !(seconds >= 30)) {
            throw new BadInput("--seeds must be at least 1, --voters 3 or 5, --others 0 to " + MOST_OTHERS
                + ", --seconds at least 30");
        }
        Set<CouncilTrial.Planted> faults = EnumSet.noneOf(CouncilTrial.Planted.class);
        if (planted != null) {
            faults.add(planted);
        }
        TreeMap<String, Integer> kinds = new TreeMap<>();
        long answered = 0;
        int bad = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            CouncilTrial.Outcome outcome = CouncilTrial.play(seed, voters, others, seconds, faults);
            outcome.kinds().forEach(k -> kinds.merge(k, 1, Integer::sum));
            answered += outcome.answered();
            if (!outcome.broken().isEmpty() && bad++ < SHOWN) {
                System.out.println("seed " + seed + " " + outcome.kinds() + ": " + outcome.broken().size()
                    + " times, first: " + outcome.broken().get(0));
            }
        }
        System.out.println("faults: " + kinds);
        System.out.println(answered + " operations answered");
        System.out.println(bad + " of " + seeds + " seeds broke a rule");
        return bad == 0 ? 0 : 1;
    }
}
