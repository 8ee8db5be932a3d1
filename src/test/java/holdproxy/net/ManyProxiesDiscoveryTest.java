package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many proxies that call one discovery at the same time, in virtual time: discovery serves one call after
 * another and refuses a call that has waited too long. Every proxy has to have the list within 6 s of
 * discovery having it and being reachable, however new the process is and whatever failed before. Guards
 * against retries that come too late or overload discovery.
 */
class ManyProxiesDiscoveryTest {
    private static final int LIST_DUE_MS = 6_000;
    private static final int MAX_WAIT_MS = 1_000;
    private static final int STEP_MS = 10;
    private static final int TIME_LIMIT_MS = 40_000;
    private static final int[] FLEET_SIZES = {2, 6, 30, 100};

    @TempDir Path folder;

    /** A call of a proxy, with the time at which its request arrived. */
    private record Call(EmbeddedChannel channel, int proxy, long arrivedMs) {}

    /** A simulated discovery that serves calls one after another. */
    private final class SimulatedDiscovery {
        private final MockTicker ticker = Ticker.newMockTicker();
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private final List<EmbeddedChannel> open = new ArrayList<>();
        private final List<SimulatedProxy> proxies = new ArrayList<>();
        private final double serviceMs;
        private long nowMs;
        private double freeAtMs;
        private boolean down;
        private int calls;

        SimulatedDiscovery(double serviceMs) {
            this.serviceMs = serviceMs;
        }

        void advance() throws Exception {
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            nowMs += STEP_MS;
            for (SimulatedProxy proxy : proxies) {
                proxy.timers.runScheduledPendingTasks();
            }
            serve();
        }

        private void serve() {
            while (!queue.isEmpty()) {
                Call next = queue.peek();
                if (down || nowMs - next.arrivedMs > MAX_WAIT_MS) {
                    queue.poll();
                    next.channel.writeInbound(
                            WarmUp.bytes(
                                    "HTTP/1.1 503 Service Unavailable\r\n"
                                            + "Content-Length: 0\r\n\r\n"));
                } else if (freeAtMs <= nowMs) {
                    queue.poll();
                    freeAtMs = Math.max(freeAtMs, nowMs - STEP_MS) + serviceMs;
                    answer(next);
                } else {
                    return;
                }
            }
        }

        private void answer(Call call) {
            String list = Fixture.list(2, true) + "\n";
            open.add(call.channel);
            call.channel.writeInbound(
                    WarmUp.bytes(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(list.length())
                                    + "\r\n"
                                    + list
                                    + "\r\n"));
            if (call.channel.isOpen()) {
                proxies.get(call.proxy).listedAtMs = nowMs;
            }
        }

        /** Takes discovery down, which ends all watches and fails each call, or up again. */
        void down(boolean isDown) {
            down = isDown;
            if (isDown) {
                proxies.forEach(p -> p.listedAtMs = -1);
                open.forEach(EmbeddedChannel::close);
                open.clear();
            }
        }

        long lastListedMs() {
            return proxies.stream()
                    .mapToLong(p -> p.listedAtMs < 0 ? Long.MAX_VALUE : p.listedAtMs)
                    .max()
                    .orElseThrow();
        }

        void advanceUntilAllHaveTheList() throws Exception {
            for (int i = 0; i < TIME_LIMIT_MS / STEP_MS && lastListedMs() == Long.MAX_VALUE; i++) {
                advance();
            }
        }
    }

    /** A proxy that is connected to discovery alone. */
    private final class SimulatedProxy implements Transport {
        private final SimulatedDiscovery discovery;
        private final int number;
        private final EmbeddedChannel timers;
        private long listedAtMs = -1;

        SimulatedProxy(SimulatedDiscovery discovery, int number, int fleet, long seed)
                throws Exception {
            this.discovery = discovery;
            this.number = number;
            timers = EmbeddedChannel.builder().ticker(discovery.ticker).build();
            Path file = folder.resolve("config.json");
            String settings =
                    Fixture.SETTINGS
                            .replace("\"askWithinMs\":100.0", "\"askWithinMs\":10000.0")
                            .replace("\"balancers\":1", "\"balancers\":" + fleet);
            Files.writeString(
                    file,
                    Fixture.json(Fixture.list(1, true), settings, 1024)
                            .replace("8c1f30d27a5be964", Long.toHexString(seed * 1000 + number)));
            Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
            Clock time = new Clock(discovery.ticker, () -> 0);
            Proxy proxy =
                    new Proxy(config, timers.eventLoop(), time, this, new Log(time, line -> {}));
            proxy.begin();
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            EmbeddedChannel channel =
                    EmbeddedChannel.builder().ticker(discovery.ticker).handlers(handlers).build();
            discovery.calls++;
            discovery.queue.add(new Call(channel, number, discovery.nowMs));
            return channel.newSucceededFuture();
        }

        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void shutdownOutput(Channel channel) {
            throw new UnsupportedOperationException();
        }
    }

    private SimulatedDiscovery fleet(int proxies, double allCallMs, long seed) throws Exception {
        SimulatedDiscovery discovery = new SimulatedDiscovery(allCallMs / proxies);
        for (int i = 0; i < proxies; i++) {
            discovery.proxies.add(new SimulatedProxy(discovery, i, proxies, seed));
        }
        return discovery;
    }

    /** How long the calls of all proxies take together; at 4 s one of the calls may be refused twice. */
    private static final int[] ALL_CALLS_MS = {500, 2_000, 4_000, 8_000};

    private static final int SEEDS = 3;
    private static final int OUTAGE_MS = 8_000;

    /** All proxies start together, as after a crash of all of them. */
    @Test
    void newProcessesOfAnyNumberHaveTheListInTime() throws Exception {
        for (int allCallsMs : ALL_CALLS_MS) {
            for (int proxies : FLEET_SIZES) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    SimulatedDiscovery discovery = fleet(proxies, allCallsMs, seed);
                    discovery.advanceUntilAllHaveTheList();
                    check(discovery, proxies, allCallsMs, 0);
                }
            }
        }
    }

    /** Discovery goes down, which ends all watches, and comes back: no retry delay may exceed the 6 s. */
    @Test
    void proxiesOfAnyNumberHaveTheListInTimeAfterAnOutage() throws Exception {
        for (int allCallsMs : ALL_CALLS_MS) {
            for (int proxies : FLEET_SIZES) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    SimulatedDiscovery discovery = fleet(proxies, allCallsMs, seed);
                    discovery.advanceUntilAllHaveTheList();
                    discovery.down(true);
                    for (int ms = 0; ms < OUTAGE_MS; ms += STEP_MS) {
                        discovery.advance();
                    }
                    discovery.down(false);
                    discovery.calls = 0;
                    long backMs = discovery.nowMs;
                    discovery.advanceUntilAllHaveTheList();
                    check(discovery, proxies, allCallsMs, backMs);
                }
            }
        }
    }

    /** The last list comes within 6 s, or later if the calls together take longer; few calls are repeated. */
    private static void check(
            SimulatedDiscovery discovery, int proxies, int allCallsMs, long fromMs) {
        String what = proxies + " proxies, all calls take " + allCallsMs + " ms: ";
        long tookMs = discovery.lastListedMs() - fromMs;
        long maxMs = Math.max(LIST_DUE_MS, allCallsMs + 2 * MAX_WAIT_MS);
        assertTrue(tookMs <= maxMs, what + "the last list came after " + tookMs + " ms");
        double callsEach = discovery.calls / (double) proxies;
        double maxCalls = 2 + allCallsMs / 4_000.0;
        assertTrue(callsEach <= maxCalls, what + callsEach + " calls per proxy");
    }
}
