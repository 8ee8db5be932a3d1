package holdproxy.daemon;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code holdproxy daemon versions}: prints the log and proxy versions of each control machine. */
@Command(
        name = "versions",
        description = {
            "Prints which versions of the published state are in force.",
            "Exit codes: 0 all control machines answered; 2 the command or the file is wrong; 4 one"
                    + " did not answer."
        },
        mixinStandardHelpOptions = true)
final class VersionsCommand implements Callable<Integer> {
    @Mixin private ControlOptions control;

    @Override
    public Integer call() {
        int[] unreachable = {0};
        FleetVersions fleet =
                control.versions(
                        control.addresses(),
                        problem -> {
                            unreachable[0]++;
                            System.err.println("holdproxy: " + problem);
                        });
        fleet.machines().forEach(machine -> System.out.println(FleetVersions.describe(machine)));
        return unreachable[0] == 0 ? 0 : PublishCommand.NOT_ACCEPTED;
    }
}
