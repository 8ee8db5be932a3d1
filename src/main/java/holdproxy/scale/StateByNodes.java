package holdproxy.scale;

import holdproxy.emulator.ProxyConfig;
import holdproxy.net.Clock;
import holdproxy.net.Config;
import holdproxy.net.Proxy;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Measures the heap of a real proxy by the number of nodes in its list, before it has any connections. */
final class StateByNodes implements Measurement {
    private static final int PROXIES = 10;
    private static final InetSocketAddress UNUSED_ADDRESS = LoopbackNetwork.address(0, 0, 1, 1);
    private static final InetSocketAddress ANY_PORT = LoopbackNetwork.address(0, 0, 1, 0);

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series heap =
                findings.add(
                        Series.of(
                                "proxy",
                                "list of nodes held by the whole proxy",
                                "kB",
                                "nodes",
                                "every proxy knows every node",
                                TargetFleet.NODES,
                                TargetFleet.PROXY_MB * 1024));
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try {
            start(loop, config(1)); // loads the classes, whose heap must not count
            for (int size : spec.sizes()) {
                List<Config> configs = new ArrayList<>();
                for (int i = 0; i < PROXIES; i++) {
                    configs.add(config(size));
                }
                List<Proxy> proxies = new ArrayList<>();
                long before = Heap.usedBytes();
                for (Config each : configs) {
                    proxies.add(start(loop, each));
                }
                heap.add(size, (Heap.usedBytes() - before) / 1024.0 / PROXIES);
                context.logProgress(
                        "%s: %d proxies of %d nodes", spec.kind().configName, proxies.size(), size);
                for (Proxy proxy : proxies) {
                    loop.submit(proxy::drain).get();
                }
            }
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Config config(int nodes) {
        String servers =
                IntStream.range(0, nodes)
                        .mapToObj(
                                i ->
                                        "{\"id\":\"node-"
                                                + i
                                                + "\",\"addr\":\"10.1."
                                                + i / 250
                                                + "."
                                                + (i % 250 + 1)
                                                + ":11211\",\"zone\":\"room-north\",\"kind\":\"std-1c\","
                                                + "\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,"
                                                + "\"started_ms\":0}")
                        .collect(Collectors.joining(","));
        String known = "{\"version\":" + nodes + ",\"full\":true,\"servers\":[" + servers + "]}";
        String json =
                new ProxyConfig(0, 1, 0, List.of(DiscoveryChild.ZONE), 1, 1, List.of(1.0), 1)
                        .json("proxy", 1, known, ProxyConfig.MAX_ATTEMPTS);
        return Config.of("proxy", ANY_PORT, UNUSED_ADDRESS, json);
    }

    private static Proxy start(EventLoop loop, Config config) throws Exception {
        return loop.submit(
                        () ->
                                Proxy.start(
                                        config,
                                        loop,
                                        new Clock(Ticker.systemTicker(), System::currentTimeMillis),
                                        new LoopbackNetwork(loop, null),
                                        line -> {}))
                .get();
    }
}
