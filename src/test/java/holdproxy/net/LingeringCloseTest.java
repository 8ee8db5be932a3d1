package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How long a connection stays open behind its last answer, for a client that leaves its side open. */
class LingeringCloseTest {
    /** Longer than an answer that is buffered. */
    private static final int VALUE_BYTES = 1 << 20;

    private EmbeddedProxy embedded;

    @BeforeEach
    void start() throws IOException {
        embedded = new EmbeddedProxy(1);
        embedded.transport.peersStayConnected = true;
    }

    /** A client that has its answer and whose connection is then closed to make room for another. */
    private EmbeddedChannel closingClient(int valueBytes) {
        EmbeddedChannel client = embedded.client();
        client.writeInbound(bytes(Fixture.read("a1", 4000)));
        EmbeddedChannel node = embedded.transport.latestNodeConnection();
        node.writeInbound(bytes("VA " + valueBytes + " Oa1\r\n" + "v".repeat(valueBytes) + "\r\n"));
        assertTrue(text(client).endsWith("v\r\n"));
        for (int i = 0; i < ConnectionLimits.of(1024, false).clients(); i++) {
            embedded.client();
        }
        return client;
    }

    private void advance(EmbeddedChannel client, long ms) {
        embedded.advance((int) ms);
        client.runScheduledPendingTasks();
    }

    /** Guards against answers that are cut off, as a connection was closed before its client had them. */
    @Test
    void aConnectionStaysOpenWhileItsClientMayStillTakeALongAnswer() {
        EmbeddedChannel client = closingClient(VALUE_BYTES);
        long deliveryMs = Sockets.MAX_UNDELIVERED_BYTES * 1000L / UndeliveredBytes.MIN_BYTES_PER_S;
        client.writeInbound(bytes(Fixture.read("a2", 4000)));
        advance(client, deliveryMs - 1);
        assertTrue(client.isActive());
        assertEquals("", text(client), "what comes behind the end of the output is no request");
        advance(client, 2);
        assertFalse(client.isActive());
    }

    @Test
    void aConnectionWithAShortAnswerIsClosedSoon() {
        EmbeddedChannel client = closingClient(10);
        advance(client, LingeringClose.MIN_LINGER_MS - 1);
        assertTrue(client.isActive());
        advance(client, 2);
        assertFalse(client.isActive());
    }

    @Test
    void theEstimateIsBoundedByTheBufferAndFallsWithTime() {
        int capacity = 4 * UndeliveredBytes.MIN_BYTES_PER_S;
        UndeliveredBytes undelivered = new UndeliveredBytes(capacity);
        assertEquals(0, undelivered.deliveryMs(0));
        undelivered.written(10 * capacity, 1_000_000);
        assertEquals(4000, undelivered.deliveryMs(1_000_000));
        assertEquals(1000, undelivered.deliveryMs(4_000_000));
        undelivered.written(UndeliveredBytes.MIN_BYTES_PER_S, 4_000_000);
        assertEquals(2000, undelivered.deliveryMs(4_000_000));
        assertEquals(0, undelivered.deliveryMs(7_000_000));
        undelivered.full(8_000_000);
        assertEquals(4000, undelivered.deliveryMs(8_000_000));
    }

    /** The estimate is right only if the system holds no more than it assumes. */
    @Test
    @Timeout(60)
    void theSystemHoldsNoMoreForAClientThanIsReckonedWith() throws Exception {
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        try {
            Channel listener =
                    new Sockets(loop, null)
                            .listen(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    () -> new ChannelHandler[] {new Acceptance(accepted)})
                            .sync()
                            .channel();
            try (Peer client = Peer.to((InetSocketAddress) listener.localAddress())) {
                SocketChannel channel = (SocketChannel) accepted.get();
                int bytes = channel.config().getSendBufferSize();
                assertTrue(bytes <= Sockets.MAX_UNDELIVERED_BYTES, bytes + " bytes");
            }
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static final class Acceptance extends ChannelInboundHandlerAdapter {
        private final CompletableFuture<Channel> accepted;

        Acceptance(CompletableFuture<Channel> accepted) {
            this.accepted = accepted;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            accepted.complete(ctx.channel());
        }
    }
}
