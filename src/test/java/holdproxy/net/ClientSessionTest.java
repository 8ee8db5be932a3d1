package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that send no complete command or too many requests, or that read no responses; on a mock clock. */
class ClientSessionTest {
    @TempDir Path folder;
    private final EmbeddedTransport nodes = new EmbeddedTransport();
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        Clock time = Clock.system();
        proxy = new Proxy(config, new EmbeddedChannel().eventLoop(), time, nodes, new Log(time));
    }

    private EmbeddedChannel client(String sends) {
        EmbeddedChannel peer = new EmbeddedChannel(proxy.handlers());
        peer.freezeTime();
        peer.writeInbound(Unpooled.copiedBuffer(sends, StandardCharsets.ISO_8859_1));
        return peer;
    }

    private static void advance(EmbeddedChannel peer, int ms) {
        peer.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        peer.runPendingTasks();
    }

    private static String nextOutput(EmbeddedChannel peer) {
        ByteBuf output = peer.readOutbound();
        String text = output.toString(StandardCharsets.ISO_8859_1);
        output.release();
        return text;
    }

    @Test
    void aClientWithoutACompleteCommandGetsAnErrorAndIsDisconnected() {
        for (String sends :
                new String[] {"", "mg 7f", "ms 7f 64 Oa Pc=submit,t=acme,d=900\r\nhello"}) {
            EmbeddedChannel peer = client(sends);
            advance(peer, 2000);
            assertTrue(peer.isActive());
            advance(peer, 999);
            assertTrue(nextOutput(peer).startsWith("CLIENT_ERROR "));
            assertFalse(peer.isActive());
        }
    }

    @Test
    void aClientThatHasSentACommandStaysConnected() {
        EmbeddedChannel peer = client("mn\r\n");
        assertEquals("MN\r\n", nextOutput(peer));
        advance(peer, 60_000);
        assertNull(peer.readOutbound());
        assertTrue(peer.isActive());
    }

    /** The error already sent is the response to a command that arrives after it, which is not forwarded. */
    @Test
    void aCommandThatArrivesAfterTheErrorIsNotForwarded() {
        List<ChannelPromise> pendingWrites = new ArrayList<>();
        EmbeddedChannel peer =
                new EmbeddedChannel(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext ctx,
                                    Object message,
                                    ChannelPromise promise) {
                                pendingWrites.add(promise); // the socket accepts nothing yet
                                ctx.write(message);
                            }
                        });
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(
                        new Discovery.Entry(
                                new Router.Node(),
                                "s-0",
                                new InetSocketAddress("127.0.0.1", 100))));
        peer.pipeline().addLast(proxy.handlers());
        peer.freezeTime();
        peer.pipeline().fireChannelActive(); // became active before the handlers were added
        advance(peer, 2999);
        assertTrue(nextOutput(peer).startsWith("CLIENT_ERROR "));
        peer.writeInbound(
                Unpooled.copiedBuffer(Fixture.read("a1", 900), StandardCharsets.ISO_8859_1));
        assertEquals(0, nodes.nodeConnections.size());
        assertEquals(0, proxy.figures().active.get());
        pendingWrites.forEach(ChannelPromise::trySuccess);
        advance(peer, 10_000);
        assertFalse(peer.isActive());
    }

    /** Every request is answered in order, however many exceed the limit; those are only counted. */
    @Test
    void requestsOverTheLimitOfAConnectionAreRefusedInOrder() {
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(
                        new Discovery.Entry(
                                new Router.Node(),
                                "s-0",
                                new InetSocketAddress("127.0.0.1", 100))));
        EmbeddedChannel peer = client("");
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 40_000; i++) {
            many.append(Fixture.read("a" + i, 4000));
        }
        peer.writeInbound(Unpooled.copiedBuffer(many, StandardCharsets.ISO_8859_1));
        int accepted = (int) proxy.figures().active.get();
        assertTrue(accepted <= 128, accepted + " requests were accepted");
        for (EmbeddedChannel node : List.copyOf(nodes.nodeConnections)) {
            for (String text = WarmUp.text(node); text.contains(" O"); text = WarmUp.text(node)) {
                int at = text.indexOf(" O") + 1;
                node.writeInbound(
                        WarmUp.bytes(
                                "VA 1 " + text.substring(at, text.indexOf(' ', at)) + "\r\n1\r\n"));
            }
        }
        String[] lines = WarmUp.text(peer).split("\r\n");
        int answers = 0;
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].startsWith("VA ")) {
                assertEquals("VA 1 Oa" + answers, lines[i++]);
            } else {
                assertTrue(lines[i].startsWith("SERVER_ERROR busy"), lines[i]);
            }
            answers++;
        }
        assertEquals(40_000, answers);
        assertTrue(peer.isActive());
    }

    /** A client whose socket accepts no data, after this many requests for large values. */
    private EmbeddedChannel nonReadingClient(int requests, String value) {
        EmbeddedChannel client =
                new EmbeddedChannel(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext ctx,
                                    Object message,
                                    ChannelPromise promise) {
                                ctx.write(message);
                            }
                        });
        client.pipeline().addLast(proxy.handlers());
        client.pipeline().fireChannelActive();
        for (int i = 0; i < requests; i++) {
            client.writeInbound(WarmUp.bytes(Fixture.read("h" + i, 4000)));
            respond("h" + i, value);
        }
        return client;
    }

    private void respond(String id, String value) {
        for (EmbeddedChannel node : List.copyOf(nodes.nodeConnections)) {
            if (WarmUp.text(node).contains("O" + id + " ")) {
                node.writeInbound(
                        WarmUp.bytes("VA " + value.length() + " O" + id + "\r\n" + value + "\r\n"));
            }
        }
    }

    @Test
    void clientsThatDoNotReadCostNoClientItsConnectionOrResponse() {
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(
                        new Discovery.Entry(
                                new Router.Node(),
                                "s-0",
                                new InetSocketAddress("127.0.0.1", 100))));
        String value = "x".repeat(65_000);
        List<EmbeddedChannel> nonReading =
                List.of(
                        nonReadingClient(100, value),
                        nonReadingClient(100, value),
                        nonReadingClient(5, value));
        EmbeddedChannel client = client(Fixture.read("a1", 4000));
        respond("a1", value);
        assertTrue(nextOutput(client).startsWith("VA 65000 Oa1"));
        for (EmbeddedChannel open :
                List.of(client, nonReading.get(0), nonReading.get(1), nonReading.get(2))) {
            assertTrue(open.isActive());
            open.finishAndReleaseAll();
        }
    }

    @Test
    void aClientThatReadsNoResponsesIsDisconnected() {
        EmbeddedChannel peer = client("mn\r\n");
        peer.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        peer.runPendingTasks();
        // the data block is too long, which breaks the framing
        peer.writeInbound(
                WarmUp.bytes("mn\r\nms k 3 Od Pc=charge,t=acme,d=900,k=1\r\nabcdefg\r\n"));
        advance(peer, 9_000);
        assertTrue(peer.isActive());
        advance(peer, 1_001);
        assertFalse(peer.isActive());
    }
}
