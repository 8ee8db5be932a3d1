package holdproxy.lab;

import holdproxy.net.Config;
import holdproxy.net.Proxy;
import holdproxy.net.Time;
import holdproxy.net.Transport;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * A town in virtual time: unchanged proxies on one event loop with cache nodes, the register, discovery and
 * clients around them. Each part draws from a stream of its own, so that one more part shifts no other's.
 */
final class Town implements AutoCloseable {
    /**
     * How large a town is.
     *
     * @param proxies proxies
     * @param nodes cache nodes
     * @param ratePerS requests a second of all clients
     * @param workUs mean work of a request on a standard core, in microseconds
     */
    record Size(int proxies, int nodes, double ratePerS, double workUs) {
    }

    /** A month into 1970, so that no start is taken for long ago. */
    private static final long UNIX_MS = 2_592_000_000L;
    private static final long CALL_US = 30_000;
    private static final List<String> TENANTS = List.of("baejarlaug", "ithrottafelagid", "golfklubbur");
    private static final List<Clients.RequestClass> CLASSES = List.of(
        new Clients.RequestClass("card-check", 0.58, 1000, false),
        new Clients.RequestClass("member-record", 0.36, 1300, false),
        new Clients.RequestClass("renewal", 0.033, 2600, true),
        new Clients.RequestClass("enrolment", 0.027, 2000, true));
    private static final String SETTINGS = """
        {"index":%d,"balancers":%d,"az":0,"domainType":"cache",
         "familyInfo":{"mode":"through","originKind":-1},
         "caps":{"dialTimeoutMs":200.0,"idleCloseMs":30000.0,"maxAttempts":3,"maxRetryAfterMs":2000.0,
          "mayCancel":true,"multiplex":1,"openCap":20000,"peers":false,"probing":false,"retryAfter":false,
          "secondCopies":true},
         "grades":[
          {"name":"card-check","effect":"pure","group":"all","targetMs":500.0,"deadlineMs":1500.0,
           "lateWorth":0.0,"repeatWindowMs":0.0,"stream":false,"value":1.0},
          {"name":"member-record","effect":"pure","group":"all","targetMs":600.0,"deadlineMs":2000.0,
           "lateWorth":0.0,"repeatWindowMs":0.0,"stream":false,"value":2.0},
          {"name":"renewal","effect":"token","group":"all","targetMs":800.0,"deadlineMs":4000.0,
           "lateWorth":0.0,"repeatWindowMs":2500.0,"stream":false,"value":10.0},
          {"name":"enrolment","effect":"side_effect","group":"all","targetMs":1500.0,"deadlineMs":3000.0,
           "lateWorth":0.0,"repeatWindowMs":0.0,"stream":false,"value":10.0}],
         "kinds":["std-1c"],"localities":["room-north"],"registryMode":"subscribe",
         "reporting":{"fields":[],"source":"off"},
         "rules":{"askWithinMs":1000.0,"coldFrom":0.2,"coldMs":20000.0,"drainGraceMs":500.0,"fallMs":2000.0,
          "graceToAnswerMs":0.0,"tipMultiple":4.0},
         "tenants":[{"name":"baejarlaug","quotaPerS":300.0,"share":0.45},
          {"name":"ithrottafelagid","quotaPerS":240.0,"share":0.37},
          {"name":"golfklubbur","quotaPerS":120.0,"share":0.18}],"tickMs":5.0,"weights":"off"}
        """;

    final VirtualLoop loop = VirtualLoop.create();
    final TownRecord record = new TownRecord();
    final MemoryNetwork network = new MemoryNetwork(loop);
    final DiscoveryService discovery = new DiscoveryService(loop, record, CALL_US);
    final List<CacheNode> nodes = new ArrayList<>();
    final List<MemoryNetwork.Host> nodeHosts = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    /** What the proxies wrote to their logs. */
    final List<String> logs = new ArrayList<>();
    private final MemberRegister register = new MemberRegister(loop, record, 40, 60_000, 2_500_000);
    private final Clients clients;
    private final long seed;

    Town(long seed, Size size) {
        this(seed, size, t -> t);
    }

    /** {@code planted} stands between the proxies and their network: what an auditor is to catch. */
    Town(long seed, Size size, UnaryOperator<Transport> planted) {
        this.seed = seed;
        InetSocketAddress registry = address(1, 0, 8500);
        network.host(registry, 300, 100, stream("discovery", 0));
        discovery.start(network, registry);
        CacheNode.Kind kind = new CacheNode.Kind(1, 1.1, 4, 20, size.workUs, 0.2, 20_000_000, 4000);
        for (int i = 0; i < size.nodes; i++) {
            InetSocketAddress address = address(2, i, 11211);
            nodeHosts.add(network.host(address, 200, 50, stream("node network", i)));
            nodes.add(new CacheNode("s-" + i, address, kind, loop, network, record, register,
                stream("node", i)));
            nodes.get(i).start(false);
            list(i, "SERVING", 0);
        }
        List<InetSocketAddress> doors = new ArrayList<>();
        for (int i = 0; i < size.proxies; i++) {
            InetSocketAddress door = address(3, i, 11211);
            doors.add(door);
            network.host(door, 800, 200, stream("proxy network", i));
            Config config = Config.of("proxy-" + i, door, registry, "{\"name\":\"proxy-" + i
                + "\",\"seed\":\"" + Long.toHexString(stream("proxy", i).nextLong())
                + "\",\"limits\":{\"sockets\":1024},\"known\":"
                + discovery.whole() + ",\"settings\":" + SETTINGS.formatted(i, size.proxies) + "}");
            Time time = new Time(loop.ticker(), () -> UNIX_MS + loop.nowUs() / 1000);
            proxies.add(Proxy.start(config, loop, time, planted.apply(network.of("proxy-" + i)),
                line -> logs.add(loop.nowUs() + " " + config.name() + " " + line)));
        }
        clients = new Clients(loop, network.of("clients"), record, stream("clients", 0), CLASSES, TENANTS,
            20_000, size.ratePerS, doors);
    }

    /** A stream of chance of one part's own. */
    private SplittableRandom stream(String part, int number) {
        return new SplittableRandom(seed * 0x9e3779b97f4a7c15L + (part.hashCode() * 31L + number));
    }

    /** Tells discovery a node's state; {@code startedMs}: its start on the town's clock, 0 for long ago. */
    void list(int node, String state, long startedMs) {
        discovery.set("s-" + node, nodes.get(node).address, "room-north", "std-1c", state,
            startedMs == 0 ? 0 : UNIX_MS + startedMs);
    }

    void at(double seconds, Runnable happening) {
        loop.after((long) (seconds * 1e6) - loop.nowUs(), happening);
    }

    /** Clients ask for so many seconds; then what is out comes to its end. */
    void play(double seconds) {
        clients.ask(loop.nowUs() + (long) (seconds * 1e6));
        loop.runUntil(loop.nowUs() + (long) (seconds * 1e6) + 10_000_000);
    }

    /** Ends every connection and listener; the town is over. */
    @Override
    public void close() {
        network.close();
        loop.runUntil(loop.nowUs() + 1_000_000);
    }

    private static InetSocketAddress address(int net, int host, int port) {
        try {
            byte[] bytes = {10, (byte) net, (byte) (host >> 8), (byte) host};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }
}
