package holdproxy.daemon;

import holdproxy.command.Commands;
import holdproxy.input.BadInput;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code holdproxy daemon}: the proxy as a member of a self-managed fleet. Exit codes: 0 stopped on request,
 * or the file is valid; 2 the command line or the file is wrong.
 */
@Command(
        name = "daemon",
        description = "Runs a proxy as one of a fleet that cooperates.",
        mixinStandardHelpOptions = true,
        subcommands = {
            DaemonCommand.Check.class,
            DaemonCommand.Found.class,
            PublishCommand.class,
            VersionsCommand.class
        })
public final class DaemonCommand implements Callable<Integer> {
    /** Not an exit code: the daemon has started and keeps running. */
    public static final int RUNS = -1;

    @Spec private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE.toml",
            description = "the daemon's configuration file")
    private Path config;

    private DaemonCommand() {}

    /** Runs a command line; returns its exit code, or {@link #RUNS}. */
    public static int run(String[] args) {
        return Commands.run(new DaemonCommand(), args);
    }

    @Override
    public Integer call() {
        if (config == null) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--config FILE.toml is missing");
        }
        Daemon.start(config, System.getenv());
        return RUNS;
    }

    /** {@code holdproxy daemon found FILE}: run once per fleet on each of the first voters. */
    @Command(
            name = "found",
            description =
                    "Writes the initial disk of one of the first voters of a new consensus group.",
            mixinStandardHelpOptions = true)
    static final class Found implements Callable<Integer> {
        @Parameters(paramLabel = "FILE.toml")
        private Path file;

        @Override
        public Integer call() {
            DaemonFile read = DaemonFile.read(file, 1);
            if (read.voters().isEmpty()) {
                throw new BadInput(file + ": [consensus] is missing");
            }
            System.out.println(
                    read.name()
                            + " is one of the first voters: "
                            + ConsensusPart.initializeDisk(read));
            return 0;
        }
    }

    /** {@code holdproxy daemon check FILE}: validates the file without starting anything. */
    @Command(
            name = "check",
            description =
                    "Validates a configuration file; exit code 2 and the error if it is wrong.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE.toml")
        private Path file;

        @Override
        public Integer call() {
            DaemonFile read = DaemonFile.read(file, 1);
            System.out.println(file + ": " + read.name() + " can start with it");
            return 0;
        }
    }
}
