package holdproxy.command;

import holdproxy.input.BadInput;
import picocli.CommandLine;

/** Helpers shared by the program's commands. */
public final class Commands {
    private Commands() {}

    /** Runs a command line; returns its exit code, 2 if the command line or an input file was wrong. */
    public static int run(Object command, String[] args) {
        return new CommandLine(command)
                .setExecutionExceptionHandler(
                        (e, line, parsed) -> {
                            if (e instanceof BadInput) {
                                System.err.println("holdproxy: " + e.getMessage());
                                return 2;
                            }
                            throw e;
                        })
                .execute(args);
    }
}
