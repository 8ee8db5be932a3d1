package holdproxy.simulation;

import holdproxy.emulator.Load;
import holdproxy.input.BadInput;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import picocli.CommandLine.Option;

/**
 * The simulated site of a load experiment: the options that {@code lab overload} and {@code lab step}
 * share.
 */
final class LoadOptions {
    private static final int MOST_CLUBS = 1000;

    @Option(
            names = "--proxies",
            defaultValue = "3",
            description = "proxies in the simulated site (${DEFAULT-VALUE})")
    private int proxies;

    @Option(
            names = "--nodes",
            defaultValue = "8",
            description = "nodes in the simulated site (${DEFAULT-VALUE})")
    private int nodes;

    @Option(
            names = "--work-ms",
            defaultValue = "40",
            description = "mean work of a request on a standard core (${DEFAULT-VALUE})")
    private double workMs;

    @Option(
            names = "--retries",
            defaultValue = "2",
            description = "client retries after a failed attempt (${DEFAULT-VALUE})")
    private int retries;

    @Option(
            names = "--seeds",
            defaultValue = "3",
            description = "number of seeds (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
    private long from;

    @Option(
            names = "--clubs",
            defaultValue = "3",
            description =
                    "3: shares as in the site; else this many clubs of equal share"
                            + " (${DEFAULT-VALUE})")
    private int clubs;

    @Option(names = "--json", description = "the report as JSON")
    boolean json;

    @Option(names = "--plot", paramLabel = "FILE.png", description = "writes a plot")
    Path plot;

    int seeds() {
        return seeds;
    }

    String town() {
        return proxies
                + " proxies, "
                + nodes
                + " nodes, "
                + workMs
                + " ms of work, "
                + clubs
                + " clubs, "
                + retries
                + " retries, seeds "
                + from
                + " to "
                + (from + seeds - 1);
    }

    List<Double> clubs() {
        return clubs == 3 ? Scenario.PLAIN.clubs() : Collections.nCopies(clubs, 1.0 / clubs);
    }

    /** Runs one simulated site for each seed, with load as this share of its nodes' capacity. */
    List<Scenario> scenarios(double load, double seconds, List<Fault> faults) {
        return LongStream.range(from, from + seeds)
                .mapToObj(
                        seed -> {
                            Load plain = Scenario.PLAIN;
                            Scenario s =
                                    new Scenario(
                                                    "load",
                                                    seed,
                                                    seconds,
                                                    Scenario.SMALL,
                                                    new Load(
                                                            1,
                                                            workMs,
                                                            plain.keys(),
                                                            plain.zipf(),
                                                            retries,
                                                            clubs()),
                                                    faults)
                                            .withSize(proxies, nodes);
                            return s.withRate(load * SimulatedSite.capacityPerS(s));
                        })
                .toList();
    }

    void check() {
        require("--proxies", proxies, 1, 200);
        require("--nodes", nodes, 1, 1000);
        require("--work-ms", workMs, 0.1, 1000);
        require("--retries", retries, 0, 8); // the attempt number is one digit of the request id
        require("--seeds", seeds, 1, 1000);
        require("--clubs", clubs, 1, MOST_CLUBS);
    }

    static void require(String option, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new BadInput(
                    option + " must be from " + least + " to " + most + ", not " + value);
        }
    }
}
