package holdproxy.simulation;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.LongAdder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code holdproxy lab consensus}: simulates consensus groups under faults, in virtual time. */
@Command(
        name = "consensus",
        description = "Simulates consensus groups with faults drawn from seeds.",
        mixinStandardHelpOptions = true)
final class ConsensusCommand implements Callable<Integer> {
    @Mixin private ConsensusFleetOptions options;

    @Option(
            names = "--planted",
            description = "a bug to plant in the program: ${COMPLETION-CANDIDATES}")
    private ConsensusSimulation.Planted planted;

    @Override
    public Integer call() {
        options.check();
        Set<ConsensusSimulation.Planted> faults = EnumSet.noneOf(ConsensusSimulation.Planted.class);
        if (planted != null) {
            faults.add(planted);
        }
        LongAdder answered = new LongAdder();
        return options.hunt(
                seed -> {
                    ConsensusSimulation.Outcome outcome =
                            ConsensusSimulation.play(
                                    seed, options.voters, options.others, options.seconds, faults);
                    answered.add(outcome.answered());
                    return outcome;
                },
                () -> System.out.println(answered + " operations answered"));
    }
}
