package holdproxy.simulation;

import holdproxy.emulator.CacheNode;
import holdproxy.emulator.Clients;
import holdproxy.emulator.DiscoveryService;
import holdproxy.emulator.Event;
import holdproxy.emulator.Load;
import holdproxy.emulator.LoadBalancer;
import holdproxy.emulator.Origin;
import holdproxy.emulator.ProxyConfig;
import holdproxy.emulator.RequestClass;
import holdproxy.emulator.SiteRecord;
import holdproxy.net.Clock;
import holdproxy.net.Config;
import holdproxy.net.Transport;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/**
 * A simulated site in virtual time: the unmodified proxies, each on an event loop of its own, and on
 * another loop the cache nodes, the member register, discovery and clients. Each part draws from a random
 * stream of its own, so that adding a part does not shift the others' draws.
 */
final class SimulatedSite implements AutoCloseable {
    /** Start time, a month into 1970, so that the start times of nodes don't look long past. */
    private static final long UNIX_MS = 2_592_000_000L;

    private static final long CALL_US = 30_000;

    /** Time after the last request until the last of its attempts has ended. */
    private static final double LAST_TRIES_S = 12;

    /** Share of fast nodes; speed of one core of either kind, in standard cores. */
    private static final double FAST_SHARE = 0.4;

    private static final double[] FAST = {1.3, 1.7};
    private static final double[] STANDARD = {0.85, 1.1};

    /** Share of the nodes' capacity that the clubs together may request. */
    private static final double QUOTA_PART = 0.83;

    final VirtualTime time = new VirtualTime();

    /** The event loop of everything but the proxies. */
    final VirtualLoop loop = time.loop(true);

    final SiteRecord record = new SiteRecord();
    final ZoneNetwork zones;
    final InMemoryNetwork network;
    final DiscoveryService discovery;

    /** By position; a replaced node leaves its position to its successor. */
    final List<CacheNode> nodes = new ArrayList<>();

    final List<ProxyProcess> proxies = new ArrayList<>();
    final Clients clients;

    /** Log lines of the proxies. */
    final List<String> logs = new ArrayList<>();

    private final Scenario scenario;
    final Origin register;
    private final Map<CacheNode, InMemoryNetwork.Host> hosts = new HashMap<>();
    private final Map<CacheNode, String> listed = new HashMap<>();
    private double cores;
    private int made;

    SimulatedSite(Scenario scenario) {
        this(scenario, t -> t);
    }

    /**
     * {@code planted} is inserted between the proxies and their network: a fault that an auditor must
     * catch.
     */
    SimulatedSite(Scenario scenario, UnaryOperator<Transport> planted) {
        this.scenario = scenario;
        Scenario.Size size = scenario.town();
        Load load = scenario.load();
        zones =
                new ZoneNetwork(
                        scenario.rooms().zones(), scenario.rooms().delaysMs(), stream("zones", 0));
        network =
                new InMemoryNetwork(
                        zones,
                        (from, byPeople, to, zone, what) ->
                                record.add(
                                        time.nowUs(),
                                        Event.Kind.LOST,
                                        to,
                                        from,
                                        what + " " + byPeople + " " + zone));
        discovery =
                new DiscoveryService(
                        loop, record, CALL_US, network::inPartitionedZone, (proxy, node) -> node);
        register =
                new Origin(
                        loop,
                        record,
                        size.originSlots(),
                        (long) (size.originMs() * 1000),
                        ProxyConfig.REPEAT_WINDOW_US);
        InetSocketAddress registry = address(1, 0, 8500);
        network.host("discovery", registry, 300, 100, stream("discovery", 0), ZoneNetwork.NOWHERE);
        discovery.start(network.process("discovery", loop, ZoneNetwork.NOWHERE), registry);
        for (int i = 0; i < size.nodes(); i++) {
            nodes.add(node(zones.of(i)));
            nodes.get(i).startWarm(load.keys());
            publishNodeState(nodes.get(i));
        }
        double perS = cores / load.workMs() * 1000 * QUOTA_PART;
        LoadBalancer front = new LoadBalancer();
        List<InMemoryNetwork.Process> people =
                IntStream.range(0, zones.count())
                        .mapToObj(
                                z ->
                                        network.clients(
                                                zones.count() == 1 ? "clients" : "clients-" + z,
                                                loop,
                                                z))
                        .toList();
        clients =
                new Clients(
                        loop,
                        people,
                        record,
                        stream("clients", 0),
                        load,
                        ProxyConfig.clubNames(load.clubs().size()),
                        front,
                        size.proxies());
        for (int i = 0; i < size.proxies(); i++) {
            proxies.add(proxy(i, front, registry, perS, planted));
            proxies.get(i).start();
        }
        FaultInjector.scheduleAll(this, scenario.faults());
    }

    private ProxyProcess proxy(
            int i,
            LoadBalancer front,
            InetSocketAddress registry,
            double perS,
            UnaryOperator<Transport> planted) {
        Scenario.Size size = scenario.town();
        InetSocketAddress address = address(3, i, 11211);
        String name = "proxy-" + i;
        int zone = zones.of(i);
        network.host(name, address, 800, 200, stream("proxy network", i), zone);
        ProxyConfig told =
                new ProxyConfig(
                        i,
                        size.proxies(),
                        zone,
                        ZoneNetwork.names(zones.count()),
                        size.coldFrom(),
                        size.coldS(),
                        scenario.load().clubs(),
                        perS);
        SplittableRandom seeds = stream("proxy", i);
        return new ProxyProcess(
                name,
                zone,
                front.addProxy(address, zone),
                time,
                loop,
                network,
                record,
                front,
                attempts ->
                        Config.of(
                                name,
                                address,
                                registry,
                                told.json(
                                        name,
                                        seeds.nextLong(),
                                        discovery.fullList(name),
                                        attempts)),
                attempts ->
                        Config.of(
                                name,
                                address,
                                registry,
                                told.json(name, 0, ProxyConfig.EMPTY_NODE_LIST, attempts)),
                t -> new Clock(t.ticker(), () -> UNIX_MS + t.nowUs() / 1000),
                network -> clients.recordReads(name, planted.apply(network)),
                logs::add);
    }

    /** Adds a node that is not up yet. */
    private CacheNode node(int zone) {
        int number = made++;
        Scenario.Size size = scenario.town();
        SplittableRandom random = stream(scenario.seed(), "node kind", number);
        boolean fast = random.nextDouble() < FAST_SHARE;
        CacheNode.Kind kind =
                new CacheNode.Kind(
                        fast ? "fast-1c" : "std-1c",
                        1,
                        speed(random, fast),
                        size.slots(),
                        size.queue(),
                        scenario.load().workMs() * 1000,
                        size.coldFrom(),
                        (long) (size.coldS() * 1e6),
                        size.memory(),
                        (long) (size.ttlS() * 1e6),
                        size.connections(),
                        size.handshakeMs() * 1000);
        cores += kind.speed() * kind.cores();
        String name = "s-" + number;
        InetSocketAddress address = address(2, number, 11211);
        InMemoryNetwork.Host host =
                network.host(name, address, 200, 50, stream("node network", number), zone);
        CacheNode node =
                new CacheNode(
                        name,
                        zone,
                        address,
                        kind,
                        loop,
                        network.process(name, loop, zone),
                        record,
                        register,
                        stream("node", number));
        hosts.put(node, host);
        return node;
    }

    private static double speed(SplittableRandom random, boolean fast) {
        double[] speeds = fast ? FAST : STANDARD;
        return random.nextDouble(speeds[0], speeds[1]);
    }

    /**
     * Requests per second that all nodes of a scenario's site can serve, for the clients' mix of classes.
     */
    static double capacityPerS(Scenario scenario) {
        double cores = 0;
        for (int i = 0; i < scenario.town().nodes(); i++) {
            SplittableRandom random = stream(scenario.seed(), "node kind", i);
            cores += speed(random, random.nextDouble() < FAST_SHARE);
        }
        double work =
                RequestClass.ALL.stream().mapToDouble(c -> c.share() * c.relativeWork()).sum();
        return cores * 1000 / (scenario.load().workMs() * work);
    }

    /** The node that takes over a position; not up yet. */
    CacheNode successor(int place) {
        CacheNode node = node(zones.of(place));
        nodes.set(place, node);
        return node;
    }

    /** The random stream of one part. */
    private SplittableRandom stream(String part, int number) {
        return stream(scenario.seed(), part, number);
    }

    private static SplittableRandom stream(long seed, String part, int number) {
        return new SplittableRandom(seed * 0x9e3779b97f4a7c15L + (part.hashCode() * 31L + number));
    }

    /** Discovery checks a node and publishes its state if it has changed. */
    void publishNodeState(CacheNode node) {
        boolean gone = !node.isUp() || hosts.get(node).partitioned || zones.silent(node.zone);
        String state = gone ? "DELETED" : node.isDraining() ? "DRAINING" : "SERVING";
        long startedMs = node.startedUs() == 0 ? 0 : UNIX_MS + node.startedUs() / 1000;
        String seen = state + (state.equals("SERVING") ? startedMs : "");
        if (!seen.equals(listed.getOrDefault(node, "DELETED"))) {
            listed.put(node, seen);
            String room = ZoneNetwork.names(zones.count()).get(node.zone);
            discovery.setState(node.name, node.address, room, node.kind.name(), state, startedMs);
        }
    }

    /** Cuts a node's host off from the network, or reconnects it. */
    void setDisconnected(CacheNode node, boolean off) {
        record.add(loop.nowUs(), Event.Kind.FAULT, node.name, "", off ? "silent" : "back");
        hosts.get(node).partitioned = off;
    }

    /** From now on each message at a node's host resets its connection with this probability. */
    void setResetProbability(CacheNode node, double chance) {
        record.add(loop.nowUs(), Event.Kind.FAULT, node.name, "", "resets " + chance);
        hosts.get(node).resetChance = chance;
    }

    void schedule(double seconds, Runnable happening) {
        loop.schedule((long) (seconds * 1e6) - loop.nowUs(), happening);
    }

    /** Runs the clients for the scenario's duration, then waits for open requests to complete. */
    void run() {
        long endUs = (long) (scenario.seconds() * 1e6);
        clients.start(endUs);
        time.runUntil(endUs + (long) (LAST_TRIES_S * 1e6));
        proxies.forEach(ProxyProcess::recordMetrics);
    }

    /** Ends every process at the end of the run. */
    @Override
    public void close() {
        proxies.forEach(ProxyProcess::close);
        loop.end(network::close); // else Netty's table of local addresses would hold this site
    }

    static InetSocketAddress address(int net, int host, int port) {
        try {
            byte[] bytes = {10, (byte) net, (byte) (host >> 8), (byte) host};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a four-byte address was rejected", e);
        }
    }
}
