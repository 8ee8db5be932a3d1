package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Whatever nodes, the network and the event loop do, each request that was read has exactly one outcome: its
 * response, in order, by the first loop iteration after its deadline; or, once a value has begun, the rest of
 * that value or a closed connection. Timing, unresponsive nodes and loop stalls of up to 3 s are drawn from
 * seeds; the test controls the clock.
 */
class RequestOutcomeTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 60;

    /** How long after a client's waiting time the proxy fails a request that is still open. */
    private static final long OVERDUE_US = 15_000;

    /** A stalled value closes the client's connection after 10 s, checked every 500 ms. */
    private static final long STALLED_VALUE_US = 10_500_000;

    @TempDir Path folder;

    /** A request that was read, and the deadline of its outcome unless earlier requests are still open. */
    private record OpenRequest(String id, long deadlineUs) {}

    /** One proxy with its clients and nodes, driven by one seed. */
    private final class Simulation implements Transport {
        private final SplittableRandom random;
        private final MockTicker ticker = Ticker.newMockTicker();
        private final EmbeddedChannel timers = EmbeddedChannel.builder().ticker(ticker).build();
        private final Clock time = new Clock(ticker, () -> 0);
        private final List<EmbeddedChannel> nodes = new ArrayList<>();
        private final List<Client> clients = new ArrayList<>();
        private final ChannelHandler fault;
        private final Proxy proxy;
        private final List<String> violations = new ArrayList<>();
        private int requests;
        private int completed;

        Simulation(long seed, ChannelHandler fault) throws IOException {
            random = new SplittableRandom(seed);
            this.fault = fault;
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    Fixture.json(
                            Fixture.list(1, true),
                            Fixture.SETTINGS.replace(
                                    "\"secondCopies\":false",
                                    "\"secondCopies\":" + random.nextBoolean()),
                            1024));
            Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
            proxy = new Proxy(config, timers.eventLoop(), time, this, new Log(time, line -> {}));
            List<Discovery.Entry> entries = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Router.Node node = new Router.Node();
                node.id = i + 1;
                entries.add(
                        new Discovery.Entry(
                                node, "node-" + i, new InetSocketAddress("127.0.0.1", 100 + i)));
            }
            proxy.nodes(Router.ListKind.CACHED, entries);
            proxy.listen();
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            int how = random.nextInt(10);
            if (how < 7) {
                EmbeddedChannel channel = new EmbeddedChannel(handlers);
                nodes.add(channel);
                return channel.newSucceededFuture();
            }
            EmbeddedChannel dead = new EmbeddedChannel(false, false, handlers);
            try {
                dead.register();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
            if (how == 7) {
                return dead.newFailedFuture(new ConnectException("refused"));
            }
            ChannelPromise never = dead.newPromise();
            timers.eventLoop()
                    .schedule(
                            () -> never.tryFailure(new ConnectTimeoutException("no response")),
                            timeoutMs,
                            TimeUnit.MILLISECONDS);
            return never;
        }

        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            return new EmbeddedChannel().newSucceededFuture();
        }

        @Override
        public void shutdownOutput(Channel channel) {
            channel.close();
        }

        void run() {
            for (int step = 0; step < STEPS && violations.isEmpty(); step++) {
                if (step == STEPS - 10 && random.nextBoolean()) {
                    proxy.drain(500);
                }
                int requests = step < STEPS - 20 ? random.nextInt(3) : 0;
                for (int i = 0; i < requests; i++) {
                    client().sendRequest();
                }
                for (EmbeddedChannel node : List.copyOf(nodes)) {
                    if (random.nextInt(3) == 0) {
                        react(node);
                    }
                }
                // mostly on time; now and then the loop stalls with input waiting and timers due
                boolean stall = random.nextInt(12) == 0;
                advance(step >= STEPS - 20 ? 700 : random.nextInt(stall ? 3_000 : 60));
                clients.forEach(Client::check);
            }
        }

        private Client client() {
            if (clients.isEmpty() || random.nextInt(5) == 0) {
                clients.add(new Client());
                return clients.get(clients.size() - 1);
            }
            return clients.get(random.nextInt(clients.size()));
        }

        private void advance(int ms) {
            ticker.advance(ms, TimeUnit.MILLISECONDS);
            timers.runScheduledPendingTasks();
            proxy.tick();
            clients.forEach(c -> c.channel.runScheduledPendingTasks());
        }

        /** Has a node react to the command that it has received, if any. */
        private void react(EmbeddedChannel node) {
            StringBuilder received = new StringBuilder();
            for (ByteBuf b = node.readOutbound(); b != null; b = node.readOutbound()) {
                received.append(b.toString(StandardCharsets.ISO_8859_1));
                b.release();
            }
            int at = received.indexOf(" O") + 2;
            if (at < 2 || !node.isActive()) {
                return;
            }
            String id = received.substring(at, received.indexOf(" ", at));
            boolean read = received.charAt(1) == 'g';
            switch (random.nextInt(9)) {
                case 0 -> node.writeInbound(bytes("SERVER_ERROR busy\r\n"));
                case 1 -> node.writeInbound(bytes("SERVER_ERROR failed\r\n"));
                case 2 -> node.close();
                case 3 -> node.writeInbound(bytes("VA 5 O" + id + "\r\nhel")); // incomplete
                case 4 -> node.writeInbound(bytes("VA 70000 O" + id + "\r\n" + "x".repeat(1000)));
                case 5 -> node.writeInbound(bytes("what is this\r\n"));
                case 6 -> {} // never responds
                default ->
                        node.writeInbound(
                                bytes(
                                        read
                                                ? "VA 5 O" + id + "\r\nhello\r\n"
                                                : "HD O" + id + " c1\r\n"));
            }
        }

        /** A connection that sends requests without waiting, and its open requests in order. */
        private final class Client {
            private final EmbeddedChannel channel =
                    EmbeddedChannel.builder().ticker(ticker).build();
            private final ArrayDeque<OpenRequest> open = new ArrayDeque<>();
            private long begunUs = -1;
            private String output = "";

            Client() {
                channel.pipeline()
                        .addLast(fault == null ? new ChannelOutboundHandlerAdapter() : fault);
                channel.pipeline().addLast(proxy.handlers());
                // became active before the handlers were added
                channel.pipeline().fireChannelActive();
            }

            void sendRequest() {
                if (!channel.isActive() || !channel.config().isAutoRead()) {
                    return;
                }
                String id = "r" + requests++;
                int waitMs = 50 + random.nextInt(2_000);
                String cls = new String[] {"lookup", "charge", "submit"}[random.nextInt(3)];
                channel.writeInbound(
                        bytes(
                                cls.equals("lookup")
                                        ? Fixture.read(id, waitMs)
                                        : Fixture.write(cls, id, waitMs)));
                open.add(new OpenRequest(id, time.nowUs() + waitMs * 1000L + OVERDUE_US));
            }

            /** Checks the output and the deadlines after a loop iteration at the current time. */
            void check() {
                for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                    output += b.toString(StandardCharsets.ISO_8859_1);
                    b.release();
                }
                while (output.contains("\r\n") && takeResponse()) {
                    // continue with the next response
                }
                if (!channel.isActive()) {
                    // a connection may close only between requests or in the middle of a value
                    if (!open.isEmpty() && begunUs < 0) {
                        violations.add("closed without a response to " + open);
                    }
                    completed += open.size();
                    open.clear();
                    output = "";
                }
                OpenRequest first = open.peek();
                if (first != null
                        && time.nowUs()
                                > Math.max(
                                        first.deadlineUs,
                                        begunUs < 0 ? 0 : begunUs + STALLED_VALUE_US)) {
                    violations.add(
                            "no outcome at "
                                    + time.nowUs()
                                    + ": "
                                    + first
                                    + " of "
                                    + open
                                    + ", output "
                                    + output);
                }
            }

            private boolean takeResponse() {
                if (open.isEmpty()) {
                    violations.add("response without a request: " + output);
                    output = "";
                    return false;
                }
                String line = output.substring(0, output.indexOf("\r\n"));
                if (line.startsWith("VA 70000 ")) {
                    begunUs = begunUs < 0 ? time.nowUs() : begunUs;
                    return false;
                }
                output = output.substring(line.length() + 2);
                if (line.startsWith("VA ")) {
                    output = output.substring("hello\r\n".length());
                }
                OpenRequest due = open.poll();
                completed++;
                if (line.contains(" O") && !line.contains(" O" + due.id)) {
                    violations.add(due + " got the response " + line);
                }
                return true;
            }
        }
    }

    private Simulation simulate(long seed, ChannelHandler fault) throws IOException {
        Simulation simulation = new Simulation(seed, fault);
        simulation.run();
        return simulation;
    }

    @Test
    void eachRequestThatWasReadHasOneOutcomeEvenIfTheLoopStalls() throws IOException {
        int requests = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulation simulation = simulate(seed, null);
            assertEquals(List.of(), simulation.violations, "seed " + seed);
            assertEquals(simulation.requests, simulation.completed, "seed " + seed);
            assertEquals(0, simulation.proxy.openRequests(), "requests left open, seed " + seed);
            requests += simulation.requests;
        }
        assertTrue(requests > 30 * SEEDS, requests + " requests");
    }

    /** Drops the third response that is written. */
    @ChannelHandler.Sharable
    private static final class ResponseDropper extends ChannelOutboundHandlerAdapter {
        private int written;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf b && b.isReadable() && ++written == 3) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else {
                ctx.write(message, promise);
            }
        }
    }

    @Test
    void aLostResponseIsDetected() throws IOException {
        int detected = 0;
        for (long seed = 1; seed <= 20; seed++) {
            detected += simulate(seed, new ResponseDropper()).violations.isEmpty() ? 0 : 1;
        }
        // the dropped response may be the last one of its connection
        assertTrue(detected >= 18, detected + " of 20");
    }
}
