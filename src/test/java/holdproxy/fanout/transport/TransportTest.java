package holdproxy.fanout.transport;

import static holdproxy.Awaiting.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Message;
import holdproxy.fanout.MessageCodec;
import holdproxy.fanout.Position;
import holdproxy.fanout.Publication;
import holdproxy.fanout.Relay;
import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Value;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Relays and subscribers over real sockets, including invalid input and slow peers. */
class TransportTest {
    private static final long TIMEOUT_S = 60;
    private static final FanoutSettings SETTINGS = FanoutSettings.DEFAULTS;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
    private final ChangeLog log = new ChangeLog(SETTINGS.limits());
    private final TransportCounters serverCounters = new TransportCounters();
    private final MessageCodec codec = new MessageCodec(SETTINGS.limits());

    @AfterEach
    void end() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private TransportContext context(FanoutSettings settings, TransportCounters counters) {
        return new TransportContext(
                loop,
                settings,
                () -> System.nanoTime() / 1_000,
                text ->
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), Integer.parseInt(text)),
                counters,
                logLines::add);
    }

    private RelayServer server(FanoutSettings settings) throws Exception {
        return loop.submit(
                        () -> {
                            log.initialize(1);
                            return new RelayServer(
                                    context(settings, serverCounters),
                                    new Relay.Source() {
                                        @Override
                                        public Replica replica() {
                                            return log.replica();
                                        }

                                        @Override
                                        public long ageUs(long nowUs) {
                                            return 0;
                                        }
                                    });
                        })
                .get();
    }

    private static int listen(RelayServer server) throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return ((InetSocketAddress) server.listen(any).sync().channel().localAddress()).getPort();
    }

    private Position publish(RelayServer server, int number, int bytes) throws Exception {
        return loop.submit(
                        () -> {
                            log.append(
                                    new Publication(
                                            1,
                                            "publication-" + number,
                                            new TreeMap<>(Map.of("key", Value.of(new byte[bytes]))),
                                            new TreeSet<>()));
                            server.sourceChanged();
                            return log.position();
                        })
                .get();
    }

    private SubscriberClient client(String name, TransportCounters counters, int... ports)
            throws Exception {
        List<RelayCandidate> candidates = new ArrayList<>();
        for (int port : ports) {
            candidates.add(new RelayCandidate("relay-" + port, Integer.toString(port), ""));
        }
        return loop.submit(
                        () -> {
                            SubscriberClient client =
                                    new SubscriberClient(
                                            context(SETTINGS, counters),
                                            name,
                                            new Replica(SETTINGS.limits()),
                                            (nowUs, position, state, changes) -> Optional.empty(),
                                            null,
                                            new Random(1));
                            client.setCandidates(candidates);
                            return client;
                        })
                .get();
    }

    private Position held(SubscriberClient client) throws Exception {
        return loop.submit(() -> client.subscriber().replica().position()).get();
    }

    private static Socket dial(int port) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    private byte[] frame(Message message) {
        return frame(codec.encode(message));
    }

    private static byte[] frame(byte[] content) {
        return ByteBuffer.allocate(Integer.BYTES + content.length)
                .putInt(content.length)
                .put(content)
                .array();
    }

    @Test
    void changesReachSubscribersAndTheirReportsComeBack() throws Exception {
        RelayServer server = server(SETTINGS);
        int port = listen(server);
        publish(server, 1, 100);
        List<SubscriberClient> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client("proxy-" + i, new TransportCounters(), port));
        }
        Position last = publish(server, 2, 100);
        await(
                TIMEOUT_S,
                () ->
                        loop.submit(() -> server.relay().report().countInForceAtOrAfter(last)).get()
                                == 20);
        for (SubscriberClient client : clients) {
            assertEquals(last, held(client));
        }
        loop.submit(() -> clients.forEach(SubscriberClient::close)).get();
        await(TIMEOUT_S, () -> serverCounters.snapshot().connectionsOpen() == 0);
        assertEquals(20, serverCounters.snapshot().connectionsOpened());
    }

    @Test
    void anUnreachableRelayIsSkippedAndAClosedOneIsLeft() throws Exception {
        int unusedPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedPort = free.getLocalPort();
        }
        RelayServer first = server(SETTINGS);
        RelayServer second = server(SETTINGS);
        TransportCounters counters = new TransportCounters();
        SubscriberClient client =
                client("proxy", counters, unusedPort, listen(first), listen(second));
        Position one = publish(first, 1, 10);
        await(TIMEOUT_S, () -> held(client).equals(one));
        assertTrue(counters.snapshot().dialsFailed() > 0);
        loop.submit(first::close).get();
        Position two = publish(second, 2, 10);
        await(TIMEOUT_S, () -> held(client).equals(two));
    }

    @Test
    void invalidInputClosesOnlyItsOwnLinkAndLogsTheReason() throws Exception {
        RelayServer server = server(SETTINGS);
        int port = listen(server);
        byte[] foreign = codec.encode(new Message.Subscribe("proxy", Position.NONE));
        foreign[1] = (byte) (MessageCodec.VERSION + 1);
        byte[][] bad = {
            frame(new byte[] {1, 2, 3}),
            frame(new byte[0]),
            frame(foreign),
            ByteBuffer.allocate(8).putInt(SETTINGS.limits().frameBytes() + 1).putInt(0).array(),
            ByteBuffer.allocate(8).putInt(-1).putInt(0).array(),
            frame(new Message.Heartbeat(Position.NONE, 0)),
            frame(new Message.Acknowledge(Position.NONE, Position.NONE, 0, CoverageReport.EMPTY)),
        };
        String[] expectedKinds = {
            "MALFORMED",
            "MALFORMED",
            "FOREIGN_VERSION",
            "TOO_LARGE",
            "TOO_LARGE",
            "UNEXPECTED",
            "UNEXPECTED"
        };
        for (int i = 0; i < bad.length; i++) {
            try (Socket socket = dial(port)) {
                socket.getOutputStream().write(bad[i]);
                assertEquals(-1, socket.getInputStream().read(), expectedKinds[i]);
                String line = logLines.poll(TIMEOUT_S, TimeUnit.SECONDS);
                assertNotNull(line, expectedKinds[i]);
                assertTrue(
                        line.contains(expectedKinds[i])
                                && line.contains(":" + socket.getLocalPort()),
                        line);
            }
        }
        SubscriberClient client = client("proxy", new TransportCounters(), port);
        Position last = publish(server, 1, 10);
        await(TIMEOUT_S, () -> held(client).equals(last));
    }

    @Test
    void aSlowSubscriberGetsOnlyItsCreditAndDelaysNoOther() throws Exception {
        RelayServer server = server(SETTINGS);
        int port = listen(server);
        try (Socket slow = dial(port)) {
            slow.getOutputStream().write(frame(new Message.Subscribe("slow", Position.NONE)));
            DataInputStream in = new DataInputStream(slow.getInputStream());
            in.readFully(new byte[in.readInt()]); // the heartbeat sent in answer
            TransportCounters counters = new TransportCounters();
            SubscriberClient quick = client("quick", counters, port);
            Position last = Position.NONE;
            for (int i = 0; i < 100; i++) {
                last = publish(server, i, SETTINGS.limits().changeBytes() / 2);
                Position newest = last;
                await(TIMEOUT_S, () -> held(quick).equals(newest));
            }
            long toSlow =
                    serverCounters.snapshot().bytesSent() - counters.snapshot().bytesReceived();
            assertTrue(
                    toSlow < 2L * SETTINGS.relay().creditBytes(),
                    toSlow + " bytes were sent to the slow subscriber");
        }
    }

    @Test
    void nothingIsWrittenToAnUnwritableChannel() throws Exception {
        try (ServerSocket neverRead = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            TransportCounters counters = new TransportCounters();
            TransportContext context = context(SETTINGS, counters);
            Channel channel =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(
                                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                                    MessageLink.waterMark(SETTINGS))
                            .handler(new ChannelInboundHandlerAdapter())
                            .connect(neverRead.getLocalSocketAddress())
                            .sync()
                            .channel();
            MessageLink link =
                    new MessageLink(channel, "peer", context, new FrameCodec(SETTINGS), null);
            Message.SnapshotPart part =
                    new Message.SnapshotPart(
                            new Position(1, 1),
                            0,
                            1,
                            new TreeMap<>(Map.of("k", Value.of(new byte[30_000]))));
            loop.submit(
                            () -> {
                                while (channel.isWritable()) {
                                    link.send(part);
                                }
                            })
                    .get();
            long sent = counters.snapshot().messagesSent();
            loop.submit(
                            () -> {
                                for (int i = 0; i < 1_000; i++) {
                                    link.send(part);
                                }
                            })
                    .get();
            assertEquals(sent, counters.snapshot().messagesSent());
            assertEquals(1_000, counters.snapshot().messagesDropped());
            loop.submit(link::close).get();
            assertTrue(
                    channel.closeFuture().await(TIMEOUT_S, TimeUnit.SECONDS),
                    "closed although the peer does not read");
        }
    }

    @Test
    void connectionsAreBounded() throws Exception {
        RelayServer server =
                server(SETTINGS.with(SETTINGS.relay().withBounds(1, 64 << 10, 1 << 20, 256 << 10)));
        int port = listen(server);
        List<Socket> open = new ArrayList<>();
        try {
            for (int i = 0; i < 1 + RelayServer.SPARE_CONNECTIONS; i++) {
                open.add(dial(port));
            }
            await(TIMEOUT_S, () -> serverCounters.snapshot().connectionsOpen() == open.size());
            try (Socket oneTooMany = dial(port)) {
                assertEquals(-1, oneTooMany.getInputStream().read());
            }
            assertEquals(1, serverCounters.snapshot().connectionsRefused());
            // the first subscriber is accepted; the second is refused because the relay is full
            assertEquals(0, subscribe(open.get(0), "first"));
            assertEquals(1, subscribe(open.get(1), "second"));
        } finally {
            for (Socket each : open) {
                each.close();
            }
        }
    }

    /** Returns 1 if the relay refuses the subscription because it is full, otherwise 0. */
    private int subscribe(Socket socket, String name) throws IOException {
        new DataOutputStream(socket.getOutputStream())
                .write(frame(new Message.Subscribe(name, Position.NONE)));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] content = new byte[in.readInt()];
        in.readFully(content);
        Message answer = codec.decode(content);
        return answer instanceof Message.Refuse refuse
                        && refuse.reason() == Message.Refuse.Reason.FULL
                ? 1
                : 0;
    }

    @Test
    void excessLogLinesAreSuppressedAndCounted() {
        long[] nowUs = {5};
        List<String> out = new ArrayList<>();
        LineLimiter limiter = new LineLimiter(out::add, () -> nowUs[0]);
        for (int i = 0; i < LineLimiter.LINES_PER_SECOND + 7; i++) {
            limiter.accept("line " + i);
        }
        assertEquals(LineLimiter.LINES_PER_SECOND, out.size());
        nowUs[0] += 1_000_000;
        limiter.accept("later");
        assertEquals("7 further log lines were suppressed", out.get(out.size() - 2));
        assertEquals("later", out.get(out.size() - 1));
    }
}
