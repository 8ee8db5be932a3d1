package holdproxy.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code holdproxy lab}: towns in virtual time, played and judged. */
@Command(name = "lab", description = "Towns in virtual time that run the real proxy and check its rules.",
    mixinStandardHelpOptions = true, subcommands = LabCommand.Hunt.class)
public final class LabCommand {
    /** Exit codes: 0 all rules kept, 1 a rule was broken, 2 the command was wrong. */
    public static int run(String[] args) {
        return new CommandLine(new LabCommand()).execute(args);
    }

    /** {@code lab hunt}: many seeds, each a town of its own, on all cores but one. */
    @Command(name = "hunt", description = "Plays towns drawn by seeds; ends at the first broken rule.",
        mixinStandardHelpOptions = true)
    static final class Hunt implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "200", description = "how many (${DEFAULT-VALUE})")
        private int seeds;
        @Option(names = "--from", defaultValue = "1", description = "the first (${DEFAULT-VALUE})")
        private long from;
        @Option(names = "--seconds", defaultValue = "10",
            description = "of each town's time (${DEFAULT-VALUE})")
        private double seconds;

        @Override
        public Integer call() throws InterruptedException, ExecutionException {
            if (seeds < 1 || !(seconds > 1)) {
                throw new CommandLine.ParameterException(new CommandLine(this),
                    "--seeds must be at least 1 and --seconds above 1");
            }
            long startNs = System.nanoTime();
            int cores = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);
            ExecutorService threads = Executors.newFixedThreadPool(cores);
            try {
                List<Future<DrawnTown.Result>> plays = new ArrayList<>();
                for (long seed = from; seed < from + seeds; seed++) {
                    long drawn = seed;
                    plays.add(threads.submit(() -> DrawnTown.play(drawn, seconds)));
                }
                List<DrawnTown.Result> results = new ArrayList<>();
                for (Future<DrawnTown.Result> play : plays) {
                    DrawnTown.Result r = play.get();
                    results.add(r);
                    if (!r.broken().isEmpty()) {
                        System.out.println("seed " + r.seed() + " breaks " + r.broken().size() + " times:");
                        r.broken().stream().limit(10).forEach(line -> System.out.println("  " + line));
                        return 1;
                    }
                }
                report(results, (System.nanoTime() - startNs) / 1e9);
                return 0;
            } finally {
                threads.shutdownNow();
            }
        }

        private void report(List<DrawnTown.Result> results, double tookS) {
            System.out.printf("%d towns, %.0f s each, in %.1f s: no rule broken%n", results.size(), seconds,
                tookS);
            System.out.println("worst served:  seed    asked  served%  refused%  attempts/request");
            results.stream().sorted(Comparator.comparingDouble(DrawnTown.Result::servedShare)).limit(5)
                .forEach(r -> System.out.printf("%20d %8d %8.1f %9.1f %17.2f%n", r.seed(), r.asked(),
                    100 * r.servedShare(), 100.0 * r.refused() / r.asked(),
                    (double) r.attempts() / r.asked()));
            System.out.println("verdict " + Integer.toHexString(
                results.stream().map(DrawnTown.Result::hash).toList().hashCode()));
        }
    }
}
