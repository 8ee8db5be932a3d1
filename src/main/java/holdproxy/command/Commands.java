package holdproxy.command;

import holdproxy.input.BadInput;
import picocli.CommandLine;

/** What the program's command lines share. */
public final class Commands {
    private Commands() {}

    /** Runs a command line; returns its exit code, 2 where the command or a file of it was wrong. */
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
