package holdproxy.scale;

import holdproxy.command.Commands;
import holdproxy.harness.ChildReaper;
import holdproxy.harness.ProgramCommand;
import holdproxy.input.BadInput;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code holdproxy scale}: measures how the cost of each part grows with the size of the fleet. Exit codes: 0
 * all rules kept, 1 a rule was broken, 2 invalid arguments or files, or a machine too small for the run.
 */
@Command(
        name = "scale",
        description = "Measures how each part of a fleet grows.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ScaleCommand.Run.class,
            ScaleCommand.Tables.class,
            ScaleCommand.Child.class,
            ScaleCommand.Keep.class
        })
public final class ScaleCommand {
    private ScaleCommand() {}

    /** Runs a command line; returns its exit code. */
    public static int run(String[] args) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        return Commands.run(new ScaleCommand(), args);
    }

    /** Executes a run; {@code onProgress} receives the findings so far after each measurement. */
    static Findings execute(ScaleFile file, Path folder, Consumer<Findings> onProgress)
            throws Exception {
        long startNs = System.nanoTime();
        Findings findings = new Findings();
        try (ChildReaper reaper =
                ChildReaper.start(ProgramCommand.of("32m", List.of(), "scale", "keep"))) {
            RunContext context =
                    new RunContext(
                            folder,
                            reaper,
                            text ->
                                    System.err.printf(
                                            Locale.ROOT,
                                            "%6.1f s  %s%n",
                                            RunContext.secondsSince(startNs),
                                            text));
            for (MeasureSpec each : file.measurements()) {
                each.kind().measurement.measure(each, context, findings);
                onProgress.accept(findings);
            }
        }
        return findings;
    }

    /** {@code scale run FILE}: executes the measurements of a file. */
    @Command(
            name = "run",
            description = "Executes the measurements of a file and writes the result.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE.toml")
        private Path file;

        @Option(names = "--out", description = "result file (default: scale/results/NAME.json)")
        private Path out;

        @Option(names = "--plot", description = "also writes a plot of the series, PNG")
        private Path plot;

        @Option(
                names = "--logs",
                description = "folder for logs and configurations (default: temporary)")
        private Path logs;

        @Override
        public Integer call() throws Exception {
            ScaleFile scale = ScaleFile.read(file);
            scale.check(Machine.openFiles(), Machine.availableGb());
            String began = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
            String before = Machine.description();
            Path folder =
                    logs == null
                            ? Files.createTempDirectory("scale")
                            : Files.createDirectories(logs);
            Path to =
                    out == null
                            ? Files.createDirectories(Path.of("scale", "results"))
                                    .resolve(scale.name() + ".json")
                            : out;
            Findings findings =
                    execute(scale, folder, f -> result(scale, began, before, f).write(to));
            ResultFile result = ResultFile.read(to);
            System.out.print(SlopeTables.of(List.of(result)));
            if (plot != null) {
                SlopePlot.write(result, plot);
            }
            System.out.println("result in " + to + ", logs in " + folder);
            return findings.allRulesKept() ? 0 : 1;
        }

        private static ResultFile result(
                ScaleFile scale, String began, String before, Findings findings) {
            String machine = before + ", at the end " + Machine.load();
            return new ResultFile(scale.name(), began, machine, findings);
        }
    }

    /** {@code scale tables RESULT...}: prints the tables of docs/CAPACITY.md. */
    @Command(
            name = "tables",
            description = "Prints the tables of docs/CAPACITY.md from results.",
            mixinStandardHelpOptions = true)
    static final class Tables implements Callable<Integer> {
        @Parameters(paramLabel = "RESULT.json", arity = "1..*")
        private List<Path> files;

        @Override
        public Integer call() {
            System.out.print(
                    SlopeTables.of(files.stream().sorted().map(ResultFile::read).toList()));
            return 0;
        }
    }

    /** Child processes of a run; internal. */
    @Command(
            name = "child",
            hidden = true,
            subcommands = {
                DiscoveryChild.class,
                WatchesChild.class,
                AskersChild.class,
                ControlChild.class,
                RelaysChild.class,
                SubscribersChild.class
            })
    static final class Child implements Callable<Integer> {
        @Override
        public Integer call() {
            throw new BadInput("scale child is internal and needs a kind of process");
        }
    }

    /**
     * The process that ends the child processes of a run if the run itself ends without doing so; internal.
     */
    @Command(name = "keep", hidden = true)
    static final class Keep implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            ChildReaper.run(System.in);
            return 0;
        }
    }
}
