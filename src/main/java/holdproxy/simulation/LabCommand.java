package holdproxy.simulation;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.command.Commands;
import holdproxy.emulator.Auditors;
import holdproxy.emulator.ServiceStatistics;
import holdproxy.input.BadInput;
import io.netty.util.ResourceLeakDetector;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code holdproxy lab}: runs simulated sites in virtual time and checks their rules. Exit codes: 0 all
 * rules kept, 1 a rule was broken, 2 the command line or an input file was wrong.
 */
@Command(
        name = "lab",
        description = "Simulates sites in virtual time with the real proxy and checks its rules.",
        mixinStandardHelpOptions = true,
        subcommands = {
            LabCommand.Run.class,
            LabCommand.Hunt.class,
            LabCommand.Shrink.class,
            LabCommand.Compare.class,
            OverloadCommand.class,
            StepCommand.class,
            MembershipCommand.class,
            ConsensusCommand.class,
            LeaseCommand.class,
            FanoutCommand.class
        })
public final class LabCommand {
    private static final int SHOWN = 10;

    /** Former command names, still accepted but not listed. */
    private static final Map<String, String> FORMER_NAMES =
            Map.of("peers", "membership", "council", "consensus", "duties", "leases");

    private LabCommand() {}

    /** Runs a command line; returns its exit code. */
    public static int run(String[] args) {
        // buffers that a killed proxy leaves unreleased are no leak of the program
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.DISABLED);
        System.setProperty("logback.configurationFile", "logback-lab.xml");
        InternalLoggerFactory.setDefaultFactory(
                JdkLoggerFactory.INSTANCE); // the JSON log lines belong to the daemon
        return Commands.run(new LabCommand(), withCurrentName(args));
    }

    private static String[] withCurrentName(String[] args) {
        String[] current = args.clone();
        if (current.length > 0) {
            current[0] = FORMER_NAMES.getOrDefault(current[0], current[0]);
        }
        return current;
    }

    /** Prints the broken rules; returns the exit code. */
    static int rules(List<Auditors.Violation> broken) {
        if (broken.isEmpty()) {
            System.out.println("all rules kept");
            return 0;
        }
        System.out.println(broken.size() + " times a rule was broken:");
        broken.stream().limit(SHOWN).forEach(b -> System.out.println("  " + b));
        return 1;
    }

    private static void save(Path file, Scenario scenario) {
        try {
            Files.writeString(file, ScenarioFile.write(scenario));
        } catch (IOException e) {
            throw new BadInput("cannot write " + file + ": " + e.getClass().getSimpleName());
        }
    }

    private static String shown(Object value) {
        return value instanceof Double
                ? String.format(Locale.ROOT, "%.4f", value)
                : String.valueOf(value);
    }

    /** {@code lab run FILE}: runs one scenario and reports its result. */
    @Command(
            name = "run",
            description = "Runs a scenario file and reports.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO.toml")
        private Path file;

        @Option(names = "--seed", description = "seed instead of that in the file")
        private Long seed;

        @Option(names = "--json", description = "the report as JSON")
        private boolean json;

        @Override
        public Integer call() {
            Scenario scenario = ScenarioFile.read(file);
            scenario = seed == null ? scenario : scenario.withSeed(seed);
            long startNs = System.nanoTime();
            SimulationRun play = SimulationRun.of(scenario);
            double tookS = (System.nanoTime() - startNs) / 1e9;
            if (json) {
                return json(play);
            }
            Scenario.Size town = scenario.town();
            System.out.printf(
                    Locale.ROOT,
                    "%s, seed %d: %.0f s of %d proxies and %d nodes in %.1f s%n",
                    scenario.name(),
                    scenario.seed(),
                    scenario.seconds(),
                    town.proxies(),
                    town.nodes(),
                    tookS);
            play.figures().forEach((k, v) -> System.out.printf("%-28s %s%n", k, shown(v)));
            System.out.println("second  wanted  in time%  refused  failed  attempts");
            int at = 0;
            for (ServiceStatistics.ServiceCounts s : play.service().seconds()) {
                if (at < scenario.seconds()) {
                    System.out.printf(
                            Locale.ROOT,
                            "%6d %7d %8.1f %8d %7d %9d%n",
                            at,
                            s.operations,
                            100 * ServiceStatistics.servedValueShare(s),
                            s.refused,
                            s.failed,
                            s.attempts);
                }
                at++;
            }
            System.out.println("verdict " + play.hash().substring(0, 8));
            return rules(play.broken());
        }

        private int json(SimulationRun play) {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("scenario", play.scenario().name());
            report.put("seed", play.scenario().seed());
            report.put("figures", play.figures());
            report.put("broken", play.broken().stream().map(Auditors.Violation::toString).toList());
            report.put("verdict", play.hash());
            try {
                System.out.println(JSON.std.asString(report));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return play.broken().isEmpty() ? 0 : 1;
        }
    }

    /** {@code lab hunt}: runs many seeds, each with a site of its own. */
    @Command(
            name = "hunt",
            description = "Runs simulated sites drawn from seeds; stops at the first broken rule.",
            mixinStandardHelpOptions = true)
    static final class Hunt implements Callable<Integer> {
        @Option(
                names = "--seeds",
                defaultValue = "200",
                description = "number of seeds (${DEFAULT-VALUE})")
        private int seeds;

        @Option(
                names = "--from",
                defaultValue = "1",
                description = "the first seed (${DEFAULT-VALUE})")
        private long from;

        @Option(
                names = "--seconds",
                defaultValue = "10",
                description = "virtual seconds per site (${DEFAULT-VALUE})")
        private double seconds;

        @Option(names = "--out", description = "file for the scenario that broke a rule")
        private Path out;

        @Override
        public Integer call() throws InterruptedException, ExecutionException {
            if (seeds < 1 || !(seconds > 1)) {
                throw new CommandLine.ParameterException(
                        new CommandLine(this), "--seeds must be at least 1 and --seconds above 1");
            }
            long startNs = System.nanoTime();
            List<Scenario> scenarios = new ArrayList<>();
            for (long seed = from; seed < from + seeds; seed++) {
                scenarios.add(Scenario.drawn(seed, seconds));
            }
            List<SimulationRun> plays =
                    ParallelRuns.all(scenarios, SimulationRun::of, p -> p.broken().isEmpty());
            SimulationRun last = plays.get(plays.size() - 1);
            if (!last.broken().isEmpty()) {
                System.out.println("seed " + last.scenario().seed());
                if (out != null) {
                    save(out, last.scenario());
                }
                return rules(last.broken());
            }
            report(plays, (System.nanoTime() - startNs) / 1e9);
            return 0;
        }

        private void report(List<SimulationRun> plays, double tookS) {
            System.out.printf(
                    Locale.ROOT,
                    "%d simulated sites, %.0f s each, in %.1f s: no rule broken%n",
                    plays.size(),
                    seconds,
                    tookS);
            System.out.println(
                    "worst served:  seed   wanted  in time%  refusals/want  attempts/want");
            Comparator<SimulationRun> byShare =
                    Comparator.comparingDouble(p -> p.service().servedValueShare());
            plays.stream()
                    .sorted(byShare)
                    .limit(5)
                    .forEach(
                            p -> {
                                ServiceStatistics.ServiceCounts all = p.service().all();
                                System.out.printf(
                                        Locale.ROOT,
                                        "%20d %8d %9.1f %14.2f %14.2f%n",
                                        p.scenario().seed(),
                                        all.operations,
                                        100 * p.service().servedValueShare(),
                                        (double) all.refused / all.operations,
                                        (double) all.attempts / all.operations);
                            });
            System.out.println(
                    "verdict "
                            + Integer.toHexString(
                                    plays.stream().map(SimulationRun::hash).toList().hashCode()));
        }
    }

    /** {@code lab shrink FILE}: finds a smaller scenario that still breaks the same rule. */
    @Command(
            name = "shrink",
            description =
                    "Reduces a scenario that breaks a rule while it still breaks the same rule.",
            mixinStandardHelpOptions = true)
    static final class Shrink implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO.toml")
        private Path file;

        @Option(names = "--out", required = true, description = "file for the reduced scenario")
        private Path out;

        @Override
        public Integer call() {
            Scenario whole = ScenarioFile.read(file);
            SimulationRun first = SimulationRun.of(whole);
            if (first.broken().isEmpty()) {
                throw new BadInput(file + " breaks no rule");
            }
            String rule = first.broken().get(0).rule();
            Scenario least =
                    ScenarioShrinker.shrink(
                            whole,
                            s ->
                                    SimulationRun.of(s).broken().stream()
                                            .anyMatch(b -> b.rule().equals(rule)));
            save(out, least);
            System.out.println("still breaks \"" + rule + "\": " + out);
            return rules(SimulationRun.of(least).broken());
        }
    }

    /** {@code lab compare A B}: compares two scenarios over the same seeds. */
    @Command(
            name = "compare",
            description = "Runs two scenarios over the same seeds, side by side.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A.toml")
        private Path a;

        @Parameters(index = "1", paramLabel = "B.toml")
        private Path b;

        @Option(
                names = "--seeds",
                defaultValue = "20",
                description = "number of seeds (${DEFAULT-VALUE})")
        private int seeds;

        @Override
        public Integer call() throws InterruptedException, ExecutionException {
            if (seeds < 1) {
                throw new CommandLine.ParameterException(
                        new CommandLine(this), "--seeds must be at least 1");
            }
            List<Scenario> scenarios = new ArrayList<>();
            for (Path file : List.of(a, b)) {
                Scenario s = ScenarioFile.read(file);
                for (long seed = s.seed(); seed < s.seed() + seeds; seed++) {
                    scenarios.add(s.withSeed(seed));
                }
            }
            List<SimulationRun> plays = ParallelRuns.all(scenarios, SimulationRun::of, p -> true);
            System.out.printf(
                    "%-28s %8s %8s %8s   %8s %8s %8s%n",
                    seeds + " seeds", "A mean", "least", "most", "B mean", "least", "most");
            List<Map<String, Object>> figures = plays.stream().map(SimulationRun::figures).toList();
            Set<String> common = new LinkedHashSet<>(figures.get(0).keySet());
            figures.forEach(
                    f -> common.retainAll(f.keySet())); // sites with other zones have other figures
            for (String figure : common) {
                System.out.printf(
                        "%-28s %s   %s%n",
                        figure,
                        spread(figures.subList(0, seeds), figure),
                        spread(figures.subList(seeds, 2 * seeds), figure));
            }
            int broken = plays.stream().mapToInt(p -> p.broken().size()).sum();
            System.out.println(
                    broken == 0 ? "all rules kept" : broken + " times a rule was broken");
            return broken == 0 ? 0 : 1;
        }

        private static String spread(List<Map<String, Object>> plays, String figure) {
            double[] values =
                    plays.stream()
                            .mapToDouble(p -> ((Number) p.get(figure)).doubleValue())
                            .sorted()
                            .toArray();
            double mean = Arrays.stream(values).average().orElse(0);
            return String.format(
                    Locale.ROOT, "%8.3f %8.3f %8.3f", mean, values[0], values[values.length - 1]);
        }
    }
}
