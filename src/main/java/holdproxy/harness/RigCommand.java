package holdproxy.harness;

import holdproxy.command.Commands;
import holdproxy.emulator.Auditors;
import holdproxy.input.BadInput;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code holdproxy rig}: runs real processes under faults and checks rules. Exit codes: 0 all rules kept, 1 a
 * rule was broken, 2 the command line or an input file was invalid.
 */
@Command(
        name = "rig",
        description = "Starts real processes, injects faults and checks the rules.",
        mixinStandardHelpOptions = true,
        subcommands = {
            RigCommand.Run.class,
            RigCommand.Hunt.class,
            RigCommand.Replay.class,
            RigCommand.Keep.class
        })
public final class RigCommand {
    private static final int MAX_SHOWN = 10;
    private static final String HEAP = "80m";

    private RigCommand() {}

    /** Runs a command line; returns its exit code. */
    public static int run(String[] args) {
        InternalLoggerFactory.setDefaultFactory(
                JdkLoggerFactory.INSTANCE); // JSON log lines are for the daemon only
        return Commands.run(new RigCommand(), args);
    }

    /** The command line that starts this program again with other arguments. */
    static List<String> ownCommand(String... arguments) {
        return ProgramCommand.of(HEAP, List.of("-XX:TieredStopAtLevel=1"), arguments);
    }

    private static ScheduleRun.Outcome play(Schedule schedule, Path folder) throws Exception {
        try (ChildReaper keeper = ChildReaper.start(ownCommand("rig", "keep"));
                ScheduleRun run =
                        new ScheduleRun(schedule, folder, keeper, RigCommand::ownCommand)) {
            return run.play();
        }
    }

    private static int report(ScheduleRun.Outcome outcome) {
        outcome.late().stream()
                .limit(MAX_SHOWN)
                .forEach(b -> System.out.println("  timing rule broken, not counted: " + b));
        if (outcome.broken().isEmpty()) {
            System.out.println("all rules kept");
            return 0;
        }
        System.out.println(outcome.broken().size() + " times a rule was broken:");
        outcome.broken().stream().limit(MAX_SHOWN).forEach(b -> System.out.println("  " + b));
        return 1;
    }

    private static Path folder(Path out) throws IOException {
        return out == null ? Files.createTempDirectory("rig") : out;
    }

    /** {@code rig run FILE}: plays one schedule and reports the result. */
    @Command(
            name = "run",
            description = "Plays a schedule and reports.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCHEDULE.toml")
        private Path file;

        @Option(names = "--out", description = "folder for configurations, logs and the history")
        private Path out;

        @Override
        public Integer call() throws Exception {
            Schedule schedule = Schedule.read(file);
            Path folder = folder(out);
            ScheduleRun.Outcome outcome = play(schedule, folder);
            System.out.printf(
                    Locale.ROOT,
                    "%s, seed %d: %.0f s of %d processes and %d nodes; history and logs in %s%n",
                    schedule.name(),
                    schedule.seed(),
                    schedule.seconds(),
                    schedule.proxies(),
                    schedule.nodes(),
                    folder);
            for (Map.Entry<String, Object> f : outcome.service().figures().entrySet()) {
                System.out.printf(Locale.ROOT, "%-28s %s%n", f.getKey(), f.getValue());
            }
            return RigCommand.report(outcome);
        }
    }

    /** {@code rig hunt}: plays random schedules, one per seed. */
    @Command(
            name = "hunt",
            description = "Plays random schedules, one per seed; ends at the first broken rule.",
            mixinStandardHelpOptions = true)
    static final class Hunt implements Callable<Integer> {
        @Option(
                names = "--seeds",
                defaultValue = "10",
                description = "number of seeds (${DEFAULT-VALUE})")
        private int seeds;

        @Option(names = "--from", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
        private long from;

        @Option(
                names = "--proxies",
                defaultValue = "5",
                description = "proxy processes (${DEFAULT-VALUE})")
        private int proxies;

        @Option(names = "--daemons", description = "run proxies as daemon instead of serve")
        private boolean daemons;

        @Option(
                names = "--voters",
                defaultValue = "0",
                description = "size of the consensus group: 0, 3 or 5")
        private int voters;

        @Option(
                names = "--drills",
                defaultValue = "0",
                description = "number of leases at the guarded resource")
        private int drills;

        @Option(
                names = "--lease-ms",
                defaultValue = "1000",
                description = "lease duration (${DEFAULT-VALUE})")
        private int leaseMs;

        @Option(names = "--quiet", description = "no client load")
        private boolean quiet;

        @Option(
                names = "--nodes",
                defaultValue = "6",
                description = "cache nodes (${DEFAULT-VALUE})")
        private int nodes;

        @Option(
                names = "--seconds",
                defaultValue = "10",
                description = "length of a schedule (${DEFAULT-VALUE})")
        private double seconds;

        @Option(names = "--out", description = "folder for configurations, logs and histories")
        private Path out;

        @Override
        public Integer call() throws Exception {
            if (seeds < 1
                    || proxies < 1
                    || proxies > 40
                    || nodes < 1
                    || nodes > 100
                    || !(seconds > 1)) {
                throw new BadInput(
                        "--seeds, --proxies (to 40) and --nodes (to 100) must be at least 1,"
                                + " --seconds above 1");
            }
            boolean valid =
                    voters == 0 ? drills == 0 : (voters == 3 || voters == 5) && voters <= proxies;
            if (!valid || drills < 0 || drills > 20 || leaseMs < 200) {
                throw new BadInput(
                        "--voters must be 0, 3 or 5 and at most --proxies, --drills (to 20) need"
                                + " voters, --lease-ms must be at least 200");
            }
            Path folder = folder(out);
            for (long seed = from; seed < from + seeds; seed++) {
                Schedule schedule =
                        Schedule.random(
                                seed,
                                daemons || voters > 0,
                                new Schedule.Fleet(voters, drills, leaseMs, quiet),
                                proxies,
                                nodes,
                                seconds);
                Path each = folder.resolve("seed-" + seed);
                ScheduleRun.Outcome outcome = play(schedule, each);
                Files.writeString(each.resolve("schedule.toml"), schedule.toml());
                System.out.printf(
                        Locale.ROOT,
                        "seed %d: %d faults, in time %.3f, %d broken%n",
                        seed,
                        schedule.faults().size(),
                        outcome.service().servedValueShare(),
                        outcome.broken().size());
                if (!outcome.broken().isEmpty()) {
                    System.out.println("replay with: rig replay " + each.resolve("schedule.toml"));
                    return RigCommand.report(outcome);
                }
            }
            System.out.println(seeds + " schedules: no rule broken");
            return 0;
        }
    }

    /** {@code rig replay FILE}: plays a schedule several times. */
    @Command(
            name = "replay",
            description = "Plays a schedule several times and compares the verdicts.",
            mixinStandardHelpOptions = true)
    static final class Replay implements Callable<Integer> {
        @Parameters(paramLabel = "SCHEDULE.toml")
        private Path file;

        @Option(
                names = "--times",
                defaultValue = "3",
                description = "number of plays (${DEFAULT-VALUE})")
        private int times;

        @Option(names = "--out", description = "folder for configurations, logs and histories")
        private Path out;

        @Override
        public Integer call() throws Exception {
            Schedule schedule = Schedule.read(file);
            Path folder = folder(out);
            int broken = 0;
            for (int i = 1; i <= times; i++) {
                ScheduleRun.Outcome outcome = play(schedule, folder.resolve("play-" + i));
                broken += outcome.broken().isEmpty() ? 0 : 1;
                System.out.println(
                        "play "
                                + i
                                + ": "
                                + (outcome.broken().isEmpty()
                                        ? "kept"
                                        : outcome.broken().stream()
                                                .map(Auditors.Violation::rule)
                                                .distinct()
                                                .toList()));
            }
            System.out.println(broken + " of " + times + " broke a rule");
            return broken == 0 ? 0 : 1;
        }
    }

    /** Internal: the process of {@link ChildReaper}. */
    @Command(name = "keep", hidden = true)
    static final class Keep implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            ChildReaper.run(System.in);
            return 0;
        }
    }
}
