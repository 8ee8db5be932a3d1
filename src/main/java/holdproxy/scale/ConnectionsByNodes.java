package holdproxy.scale;

import holdproxy.emulator.CacheNode;
import holdproxy.emulator.Clients;
import holdproxy.emulator.DiscoveryService;
import holdproxy.emulator.Load;
import holdproxy.emulator.LoadBalancer;
import holdproxy.emulator.Origin;
import holdproxy.emulator.ProxyConfig;
import holdproxy.emulator.SiteRecord;
import holdproxy.harness.LoopTimeline;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Measures the connections between real proxies under load and all nodes, by the number of nodes. */
final class ConnectionsByNodes implements Measurement {
    private static final String MECHANISM = "every proxy may connect to every node";

    /** Limit of open sockets in a proxy's configuration. */
    private static final double MAX_SOCKETS = 1024;

    /** Rate of all proxies together: that of one proxy in the target fleet. */
    private static final double REQUESTS_PER_S = 738;

    private static final Load LOAD = new Load(REQUESTS_PER_S, 1, 20_000, 0.9, 0, List.of(1.0));
    private static final int REGISTER_SLOTS = 400;
    private static final long REGISTER_US = 5_000;
    private static final int FIRST_FLEET = 30;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series perProxy = findings.add(series("proxy", "open connections to nodes", MAX_SOCKETS));
        Series perNode =
                findings.add(series("cache node", "open connections for each proxy", Double.NaN));
        Series resident =
                findings.add(
                        Series.of(
                                "proxy",
                                "whole daemon under load",
                                "MB resident",
                                "nodes",
                                MECHANISM,
                                TargetFleet.NODES,
                                Double.NaN));
        int number = FIRST_FLEET;
        for (int size : spec.sizes()) {
            context.logProgress(
                    "%s: %d nodes, %d real proxies", spec.kind().configName, size, spec.proxies());
            try (NodeCluster cluster = new NodeCluster(size, number);
                    DaemonFleet fleet = new DaemonFleet(context, number)) {
                fleet.start(spec.proxies(), 0, cluster.discovery, context);
                cluster.startLoad(fleet, spec.seconds());
                RunContext.pause(spec.seconds());
                double open = cluster.openConnections();
                perProxy.add(size, open / spec.proxies());
                perNode.add(size, open / spec.proxies() / size);
                resident.add(
                        size,
                        fleet.daemons().stream()
                                .mapToDouble(d -> d.usage().residentMb())
                                .average()
                                .orElse(0));
                findings.addVerdict(
                        "no proxy holds more connections than its bound at " + size + " nodes",
                        open / spec.proxies() <= MAX_SOCKETS,
                        open + " at " + spec.proxies() + " proxies");
            }
            number++;
        }
    }

    private static Series series(String role, String quantity, double budget) {
        return Series.of(
                role, quantity, "connections", "nodes", MECHANISM, TargetFleet.NODES, budget);
    }

    /** Emulated nodes, each with an address of its own, with discovery and clients. */
    private static final class NodeCluster implements AutoCloseable {
        private static final int KEYS_KEPT = 2_000;
        private static final int CONNECTIONS = 20_000;
        private final EventLoop loop =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        private final LoopTimeline time = new LoopTimeline(loop);
        private final SiteRecord record = new SiteRecord();
        private final LoopbackNetwork nodeNetwork = new LoopbackNetwork(loop, null);
        private final LoopbackNetwork clientNetwork = new LoopbackNetwork(loop, null);
        private final InetSocketAddress discovery;

        NodeCluster(int size, int number) throws Exception {
            discovery = LoopbackNetwork.address(6, number, 1, Port.DISCOVERY.number());
            loop.submit(() -> build(size, number)).get();
        }

        private void build(int size, int number) {
            DiscoveryService service =
                    new DiscoveryService(
                            time, record, 0, proxy -> true, (proxy, address) -> address);
            Origin register =
                    new Origin(
                            time,
                            record,
                            REGISTER_SLOTS,
                            REGISTER_US,
                            ProxyConfig.REPEAT_WINDOW_US);
            CacheNode.Kind kind =
                    new CacheNode.Kind(
                            DiscoveryChild.KIND,
                            8,
                            1,
                            64,
                            200,
                            LOAD.workMs() * 1000,
                            1,
                            1,
                            KEYS_KEPT,
                            60_000_000,
                            CONNECTIONS,
                            0);
            for (int i = 0; i < size; i++) {
                InetSocketAddress address =
                        LoopbackNetwork.address(
                                7 + number, i / 250, i % 250 + 1, Port.NODES.number());
                CacheNode node =
                        new CacheNode(
                                "node-" + i,
                                0,
                                address,
                                kind,
                                time,
                                nodeNetwork,
                                record,
                                register,
                                new SplittableRandom(i));
                node.startCold();
                service.setState(
                        node.name, address, DiscoveryChild.ZONE, kind.name(), "SERVING", 0);
            }
            service.start(clientNetwork, discovery);
        }

        void startLoad(DaemonFleet fleet, double seconds) throws Exception {
            loop.submit(
                            () -> {
                                LoadBalancer front = new LoadBalancer();
                                fleet.daemons()
                                        .forEach(
                                                d ->
                                                        front.setInUse(
                                                                front.addProxy(d.clients, 0),
                                                                true));
                                Clients clients =
                                        new Clients(
                                                time,
                                                List.of(clientNetwork),
                                                record,
                                                new SplittableRandom(1),
                                                LOAD,
                                                ProxyConfig.clubNames(1),
                                                front,
                                                fleet.daemons().size());
                                clients.countReadWhenWritten();
                                clients.start(time.nowUs() + (long) (seconds * 1e6));
                            })
                    .get();
        }

        int openConnections() throws Exception {
            return loop.submit(nodeNetwork::accepted).get();
        }

        @Override
        public void close() {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
