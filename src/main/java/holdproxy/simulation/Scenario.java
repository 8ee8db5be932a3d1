package holdproxy.simulation;

import holdproxy.emulator.Load;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A scenario for a simulation run: a site, its load, and its faults.
 *
 * @param name name in the report
 * @param seed seed of all random streams
 * @param seconds how long clients send requests
 * @param town size of the site
 * @param load the clients' load
 * @param faults in any order
 * @param rooms the site's zones
 */
record Scenario(
        String name,
        long seed,
        double seconds,
        Size town,
        Load load,
        List<Fault> faults,
        ZoneLayout rooms) {
    /**
     * Size of a simulated site.
     *
     * @param proxies proxies, 1 to 200
     * @param nodes cache nodes, 1 to 1000
     * @param slots requests that a node runs concurrently
     * @param queue requests that may wait at a node
     * @param memory keys that a node holds
     * @param ttlS seconds for which a node holds a key
     * @param connections that a node accepts; beyond these it answers busy
     * @param handshakeMs work that a new connection costs a node, and delay of its first request
     * @param coldFrom share of its full speed at which a node starts
     * @param coldS seconds until it reaches full speed
     * @param originMs service time of the origin for one request
     * @param originSlots requests that the origin works on concurrently
     */
    record Size(
            int proxies,
            int nodes,
            int slots,
            int queue,
            int memory,
            double ttlS,
            int connections,
            double handshakeMs,
            double coldFrom,
            double coldS,
            double originMs,
            int originSlots) {}

    /**
     * The zones of a site. Nodes and proxies are assigned round robin; discovery and the origin belong to
     * none.
     *
     * @param zones how many, 1 to 8
     * @param delaysMs extra one-way delay between two zones, in the order 0-1, 0-2, .., 1-2, ..; or one
     *     value for all pairs
     */
    record ZoneLayout(int zones, List<Double> delaysMs) {
        static final ZoneLayout ONE = new ZoneLayout(1, List.of(0.0));

        ZoneLayout {
            delaysMs = List.copyOf(delaysMs);
        }
    }

    static final Size SMALL = new Size(2, 8, 4, 20, 4000, 30, 700, 2.5, 0.2, 20, 60, 40);
    static final Load PLAIN = Load.DEFAULT;
    private static final double FIRST_FAULT_S = 1;
    private static final int MOST_FAULTS = 5;

    Scenario {
        faults = List.copyOf(faults);
    }

    /** A site without zones. */
    Scenario(String name, long seed, double seconds, Size town, Load load, List<Fault> faults) {
        this(name, seed, seconds, town, load, faults, ZoneLayout.ONE);
    }

    Scenario withSeed(long other) {
        return new Scenario(name, other, seconds, town, load, faults, rooms);
    }

    Scenario withFaults(List<Fault> others) {
        return new Scenario(name, seed, seconds, town, load, others, rooms);
    }

    Scenario withSeconds(double other) {
        return new Scenario(name, seed, other, town, load, faults, rooms);
    }

    /** The same site with this many proxies and nodes. */
    Scenario withSize(int proxies, int nodes) {
        return new Scenario(
                name,
                seed,
                seconds,
                new Size(
                        proxies,
                        nodes,
                        town.slots,
                        town.queue,
                        town.memory,
                        town.ttlS,
                        town.connections,
                        town.handshakeMs,
                        town.coldFrom,
                        town.coldS,
                        town.originMs,
                        town.originSlots),
                load,
                faults,
                rooms);
    }

    Scenario withRate(double perS) {
        return new Scenario(
                name,
                seed,
                seconds,
                town,
                new Load(
                        perS,
                        load.workMs(),
                        load.keys(),
                        load.zipf(),
                        load.retries(),
                        load.clubs()),
                faults,
                rooms);
    }

    /** A small site drawn from a seed: sizes, load, and faults that may overlap. */
    static Scenario drawn(long seed, double seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        Size size =
                new Size(
                        1 + random.nextInt(4),
                        4 + random.nextInt(9),
                        2 + random.nextInt(5),
                        9 + random.nextInt(25),
                        4000,
                        random.nextDouble(20, 40),
                        20 + random.nextInt(200),
                        random.nextDouble(1.2, 4),
                        random.nextDouble(0.13, 0.35),
                        random.nextDouble(12, 24),
                        random.nextDouble(30, 120),
                        40);
        double workMs = random.nextDouble(8, 60);
        // from a third of the nodes' capacity to a little more than all of it
        double ratePerS = Math.min(200, random.nextDouble(0.3, 1.1) * size.nodes / workMs * 1000);
        Load load =
                new Load(
                        ratePerS,
                        workMs,
                        20_000,
                        random.nextDouble(0.74, 0.97),
                        random.nextInt(3),
                        PLAIN.clubs());
        List<Fault> faults = new ArrayList<>();
        for (int i = random.nextInt(MOST_FAULTS + 1); i > 0; i--) {
            faults.add(drawnFault(random, size, load, random.nextDouble(FIRST_FAULT_S, seconds)));
        }
        ZoneLayout rooms = ZoneLayout.ONE;
        if (random.nextInt(3) == 0) {
            rooms = new ZoneLayout(2 + random.nextInt(3), List.of(random.nextDouble(0, 3)));
            faults.add(drawnZoneFault(random, rooms, random.nextDouble(FIRST_FAULT_S, seconds)));
        }
        return new Scenario("drawn", seed, seconds, size, load, faults, rooms);
    }

    private static Fault drawnZoneFault(SplittableRandom random, ZoneLayout rooms, double atS) {
        Fault.Kind kind = Fault.Kind.OF_ZONES.get(random.nextInt(Fault.Kind.OF_ZONES.size()));
        boolean gray = kind == Fault.Kind.ZONE_GRAY;
        boolean noticed = kind.figures.contains(Fault.Parameter.NOTICED_S);
        return new Fault(
                kind,
                atS,
                random.nextDouble(0.5, 6),
                noticed ? random.nextDouble(0.5, 5) : 0,
                random.nextInt(rooms.zones()),
                0,
                gray ? random.nextDouble(1, 20) : 0,
                gray ? random.nextDouble(0.02, 0.4) : 0);
    }

    private static Fault drawnFault(SplittableRandom random, Size size, Load load, double atS) {
        Fault.Kind kind = Fault.Kind.OF_TOWNS.get(random.nextInt(Fault.Kind.OF_TOWNS.size()));
        double noticedS = random.nextDouble(0.5, 5);
        double forS = random.nextDouble(0.5, 8);
        double part = random.nextBoolean() ? 0 : random.nextDouble(0.05, 0.25);
        double times = random.nextDouble(2, 10);
        int node = random.nextInt(size.nodes);
        int proxy = random.nextInt(size.proxies);
        return switch (kind) {
            case CRASH, SILENT -> new Fault(kind, atS, forS, noticedS, node, part, 0, 0);
            case SLOW -> new Fault(kind, atS, forS, 0, node, part, times, 0);
            case RESETS ->
                    new Fault(kind, atS, forS, 0, node, part, 0, random.nextDouble(0.05, 0.5));
            case REPLACE -> new Fault(kind, atS, forS, 0, node, 2 * part, 0, 0);
            case LEAVE_OUT -> new Fault(kind, atS, forS, 0, node, part, 0, 0);
            case RETUNE -> new Fault(kind, atS, forS, 0, 0, 0, 0, 0);
            case RESTART -> new Fault(kind, atS, forS / 4, 0, proxy, 0, 0, 0);
            case KILL -> new Fault(kind, atS, forS, Math.min(noticedS, 3.8), proxy, 0, 0, 0);
            case HOLD -> new Fault(kind, atS, forS / 8, 0, proxy, 0, 0, 0);
            case DISCOVERY_DOWN -> new Fault(kind, atS, forS, 0, 0, 0, 0, 0);
            case SURGE ->
                    new Fault(kind, atS, forS, 0, random.nextInt(load.clubs().size()), 0, times, 0);
            case HOT_KEY -> new Fault(kind, atS, forS, 0, 0, random.nextDouble(0.1, 0.5), 0, 0);
            default -> throw new IllegalStateException(kind + " is a fault of zones");
        };
    }
}
