package holdproxy.lab;

import java.util.List;
import java.util.SplittableRandom;

/** A small town of which a seed draws all: sizes, load, and faults that may overlap. */
final class DrawnTown {
    private static final double FIRST_FAULT_S = 1;
    private static final int MOST_FAULTS = 5;

    /**
     * How a town went.
     *
     * @param seed that it was drawn by
     * @param asked requests
     * @param served of them
     * @param refused of them
     * @param attempts at nodes
     * @param broken the rules broken
     * @param hash of all that happened
     */
    record Result(long seed, long asked, long served, long refused, long attempts, List<String> broken,
            String hash) {
        double servedShare() {
            return asked == 0 ? 1 : (double) served / asked;
        }
    }

    private DrawnTown() {
    }

    /** Plays the seed's town for so many seconds of its time. */
    static Result play(long seed, double seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        Town.Size size = new Town.Size(1 + random.nextInt(3), 4 + random.nextInt(7),
            random.nextDouble(20, 160), random.nextDouble(5_000, 40_000));
        try (Town town = new Town(seed, size)) {
            int faults = random.nextInt(MOST_FAULTS + 1);
            for (int i = 0; i < faults; i++) {
                plan(town, random, random.nextDouble(FIRST_FAULT_S, seconds));
            }
            town.play(seconds);
            return result(seed, town);
        }
    }

    private static void plan(Town town, SplittableRandom random, double at) {
        int node = random.nextInt(town.nodes.size());
        double noticed = at + random.nextDouble(0.5, 5);
        double times = random.nextDouble(2, 10);
        switch (random.nextInt(5)) {
            case 0 -> {
                town.at(at, () -> town.nodes.get(node).crash());
                town.at(noticed, () -> town.list(node, "DELETED", 0));
            }
            case 1 -> town.at(at, () -> town.nodes.get(node).slow(times));
            case 2 -> {
                town.at(at, () -> town.nodeHosts.get(node).silent = true);
                town.at(noticed, () -> town.list(node, "DELETED", 0));
            }
            case 3 -> {
                town.at(at, () -> town.nodes.get(node).drain());
                town.at(at + 0.1, () -> town.list(node, "DRAINING", 0));
            }
            default -> {
                town.at(at, () -> town.discovery.down(true));
                town.at(noticed, () -> town.discovery.down(false));
            }
        }
    }

    private static Result result(long seed, Town town) {
        TownRecord record = town.record;
        List<String> broken = Auditors.broken(record.events());
        town.proxies.forEach(p -> {
            if (p.open() != 0) {
                broken.add(p.open() + " requests are still open after all clients have gone");
            }
        });
        return new Result(seed, record.count(Event.Kind.ASKED, ""), record.served(),
            record.count(Event.Kind.ANSWERED, "SERVER_ERROR busy"), record.count(Event.Kind.ARRIVED, ""),
            broken, record.hash());
    }
}
