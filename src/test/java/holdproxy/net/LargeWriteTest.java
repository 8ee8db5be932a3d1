package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Large values are sent to a node in slices, as fast as the node takes them. */
@Timeout(60)
class LargeWriteTest {
    private static final int BYTES = 4 << 20;

    private static String write(int bytes) {
        return "ms 7f3a9c21e0b4d655 " + bytes + " Ok1 Pc=submit,t=acme,d=50000,k=5c0f\r\n";
    }

    /** Reports a change of writability from within each write. */
    static final class WritabilityChangedDuringWrite extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ctx.write(message, promise);
            ctx.fireChannelWritabilityChanged();
        }
    }

    @Test
    void aSliceIsWrittenOnceIfItsOwnWriteChangesWritability(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        List<EmbeddedChannel> nodes = new ArrayList<>();
        Transport transport =
                new Transport() {
                    @Override
                    public ChannelFuture connect(
                            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
                        EmbeddedChannel node =
                                new EmbeddedChannel(
                                        Stream.concat(
                                                        Stream.of(
                                                                new WritabilityChangedDuringWrite()),
                                                        Stream.of(handlers))
                                                .toArray(ChannelHandler[]::new));
                        nodes.add(node);
                        return node.newSucceededFuture();
                    }

                    @Override
                    public ChannelFuture listen(
                            InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
                        throw new UnsupportedOperationException();
                    }

                    @Override
                    public void shutdownOutput(Channel channel) {
                        channel.close();
                    }
                };
        Clock time = Clock.system();
        Proxy proxy =
                new Proxy(
                        config,
                        new EmbeddedChannel().eventLoop(),
                        time,
                        transport,
                        new Log(time, line -> {}));
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(new Discovery.Entry(new Router.Node(), "s-0", config.listen)));
        EmbeddedChannel client = new EmbeddedChannel(proxy.handlers());
        byte[] value = new byte[300_000];
        for (int i = 0; i < value.length; i++) {
            value[i] = (byte) (i / 32_768 + i * 7);
        }
        client.writeInbound(
                WarmUp.bytes(write(value.length)),
                Unpooled.wrappedBuffer(value),
                WarmUp.bytes("\r\n"));
        EmbeddedChannel node = nodes.get(nodes.size() - 1);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        ByteBuf head = node.readOutbound();
        assertTrue(head.toString(StandardCharsets.ISO_8859_1).endsWith("k=5c0f\r\n"));
        for (ByteBuf b = node.readOutbound(); b != null; b = node.readOutbound()) {
            b.readBytes(received, b.readableBytes());
        }
        byte[] expected = Arrays.copyOf(value, value.length + 2);
        expected[value.length] = '\r';
        expected[value.length + 1] = '\n';
        assertArrayEquals(expected, received.toByteArray());
    }

    /** A clock that, once switched on, advances by 60 ms at every reading. */
    private static final class AdvancingClock implements Ticker {
        private final MockTicker clock = Ticker.newMockTicker();
        private volatile boolean advancing;

        @Override
        public long initialNanoTime() {
            return clock.initialNanoTime();
        }

        @Override
        public long nanoTime() {
            if (advancing) {
                clock.advance(60, TimeUnit.MILLISECONDS);
            }
            return clock.nanoTime();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) throws InterruptedException {
            clock.sleep(delay, unit);
        }
    }

    private static boolean receivesLine(Peer from) throws IOException {
        try {
            return from.line() != null;
        } catch (SocketException e) {
            return false; // connection reset
        }
    }

    /** The first attempt may have run; the repeat window is 5 s, and sending the 128 slices takes 7 s. */
    @Test
    void aRepeatWhoseLastByteWouldMissTheRepeatWindowIsAborted() throws Exception {
        AdvancingClock clock = new AdvancingClock();
        try (Fixture f =
                new Fixture(
                        2,
                        s ->
                                s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0")
                                        .replace(
                                                "\"dialTimeoutMs\":400.0",
                                                "\"dialTimeoutMs\":2000.0")
                                        .replace(
                                                "\"drainGraceMs\":1000.0",
                                                "\"drainGraceMs\":60000.0"),
                        1024,
                        clock)) {
            Peer client = f.client();
            String value = "x".repeat(BYTES);
            client.send(write(BYTES) + value + "\r\n");
            Peer first = f.next();
            assertTrue(first.line().contains("Ok1 "));
            first.expect(value);
            clock.advancing = true;
            first.reset();
            Peer second = f.next();
            assertTrue(second.line().contains("Ok1 "));
            assertFalse(receivesLine(second), "the whole value was received");
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            assertEquals(1, f.proxy.figures().tries.get());
        }
    }

    /** A write that fits into the buffers of the system, which would go on sending it after a close. */
    private static final int BUFFERED_BYTES = 1 << 20;

    /** Guards against a write that runs after its client has left, and again when the client comes back. */
    @Test
    void aNodeDoesNotGetTheRestOfAWriteWhoseClientHasLeft() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(write(BUFFERED_BYTES) + "x".repeat(BUFFERED_BYTES) + "\r\n");
            Peer node = f.next();
            assertTrue(node.line().contains("Ok1 "));
            f.awaitInputProcessed();
            client.close();
            assertEquals(0, f.active());
            f.awaitInputProcessed();
            assertFalse(receivesLine(node), "the whole value was received");
        }
    }

    /** Guards against a repeat that runs and the first attempt too, long after it was given up. */
    @Test
    void aNodeDoesNotGetTheRestOfAWriteThatWasGivenUp() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(
                    write(BUFFERED_BYTES).replace("d=50000", "d=300")
                            + "x".repeat(BUFFERED_BYTES)
                            + "\r\n");
            Peer node = f.next();
            assertTrue(node.line().contains("Ok1 "));
            assertTrue(client.line().startsWith("SERVER_ERROR "));
            f.awaitInputProcessed();
            assertFalse(receivesLine(node), "the whole value was received");
        }
    }
}
