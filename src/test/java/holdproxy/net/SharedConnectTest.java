package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two requests wait for one connection to be established, as no descriptor is left for another. The first is
 * a write of a large value: the command of the second must not be sent in the middle of it.
 */
class SharedConnectTest implements Transport {
    private static final int MIB = 1 << 20;

    /** The connections to nodes that a limit of 128 descriptors allows. */
    private static final int NODE_CONNECTIONS = 24;

    private static final String LARGE_WRITE =
            "ms 7f " + MIB + " Ow1 Pc=lookup,t=acme,d=4000\r\n" + "x".repeat(MIB) + "\r\n";

    @TempDir Path folder;
    private final List<EmbeddedChannel> channels = new ArrayList<>();

    private Proxy proxy;

    /** Whether the first connection stays unestablished; all others are established at once. */
    private boolean firstStaysUnestablished = true;

    /** The handler next to the network on the first connection. */
    private ChannelHandler networkHandler = new UnwritableOnceActive();

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        boolean first = channels.isEmpty() && firstStaysUnestablished;
        EmbeddedChannel channel =
                first
                        ? new EmbeddedChannel(false, false, prepend(networkHandler, handlers))
                        : new EmbeddedChannel(handlers);
        channels.add(channel);
        return first ? channel.newPromise() : channel.newSucceededFuture();
    }

    /** Makes the channel unwritable once it is active, as a full socket does. */
    private static final class UnwritableOnceActive extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.channel().unsafe().outboundBuffer().setUserDefinedWritability(1, false);
            ctx.fireChannelActive();
        }
    }

    private static ChannelHandler[] prepend(ChannelHandler first, ChannelHandler... others) {
        return Stream.concat(Stream.of(first), Stream.of(others)).toArray(ChannelHandler[]::new);
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdownOutput(Channel channel) {
        channel.close();
    }

    /** Starts a proxy for which {@link #NODE_CONNECTIONS} use up the descriptors. */
    private void start() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Fixture.json(
                        Fixture.list(1, true),
                        Fixture.SETTINGS
                                .replace("\"multiplex\":1", "\"multiplex\":4")
                                .replace("\"secondCopies\":false", "\"secondCopies\":true"),
                        128));
        Clock time = Clock.system();
        proxy =
                new Proxy(
                        Config.load(Fixture.env(file, "127.0.0.1:1")),
                        new EmbeddedChannel().eventLoop(),
                        time,
                        this,
                        new Log(time, line -> {}));
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(
                        new Discovery.Entry(
                                new Router.Node(),
                                "s-0",
                                new InetSocketAddress("127.0.0.1", 100))));
    }

    /** Returns the first connection, on which the write of a large value waits, and a read after it. */
    private EmbeddedChannel queueReadAfterLargeWrite() throws Exception {
        start();
        EmbeddedChannel client = new EmbeddedChannel(proxy.handlers());
        client.writeInbound(WarmUp.bytes(LARGE_WRITE));
        for (int i = 1; i < NODE_CONNECTIONS; i++) {
            client.writeInbound(WarmUp.bytes(Fixture.read("a" + i, 4000)));
        }
        assertEquals(NODE_CONNECTIONS, channels.size());
        client.writeInbound(WarmUp.bytes(Fixture.read("last", 4000)));
        assertEquals(NODE_CONNECTIONS, channels.size());
        return channels.get(0);
    }

    @Test
    void theNextCommandIsSentAfterTheWholeOfALargeValue() throws Exception {
        EmbeddedChannel dialed = queueReadAfterLargeWrite();
        dialed.register();
        String head = WarmUp.text(dialed);
        assertTrue(head.startsWith("ms 7f ") && !head.contains("Olast"), head);
        dialed.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        dialed.runPendingTasks();
        String rest = WarmUp.text(dialed);
        assertEquals("x".repeat(MIB) + "\r\n", rest.substring(0, MIB + 2));
        assertTrue(rest.substring(MIB + 2).contains("Olast"), rest.substring(MIB + 2));
    }

    @Test
    void theSameHoldsWhenTheChannelBecomesWritableDuringTheWrite() throws Exception {
        networkHandler = new LargeWriteTest.WritabilityChangedDuringWrite();
        EmbeddedChannel dialed = queueReadAfterLargeWrite();
        dialed.register();
        String all = WarmUp.text(dialed);
        int value = all.indexOf("\r\n") + 2;
        assertEquals(
                "x".repeat(MIB) + "\r\n",
                all.substring(value, Math.min(all.length(), value + MIB + 2)));
        assertTrue(all.substring(value + MIB + 2).contains("Olast"));
    }

    /** Guards against a write that runs after its client has left, as another attempt keeps its connection. */
    @Test
    void aWriteWhoseClientHasLeftIsNotSentOnBesideAnotherAttempt() throws Exception {
        firstStaysUnestablished = false;
        start();
        EmbeddedChannel staying = new EmbeddedChannel(proxy.handlers());
        for (int i = 0; i < NODE_CONNECTIONS; i++) {
            staying.writeInbound(WarmUp.bytes(Fixture.read("a" + i, 4000)));
        }
        EmbeddedChannel shared = channels.get(0);
        assertTrue(WarmUp.text(shared).contains("Oa0 "));
        shared.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        EmbeddedChannel leaving = new EmbeddedChannel(proxy.handlers());
        leaving.writeInbound(WarmUp.bytes(LARGE_WRITE));
        assertEquals(NODE_CONNECTIONS, channels.size());
        assertTrue(WarmUp.text(shared).startsWith("ms 7f "));
        leaving.close();
        leaving.runPendingTasks();
        shared.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        shared.runPendingTasks();
        assertTrue(WarmUp.text(shared).isEmpty(), "the value was sent on");
        shared.writeInbound(WarmUp.bytes("VA 1 Oa0\r\n1\r\n"));
        assertEquals("VA 1 Oa0\r\n1\r\n", WarmUp.text(staying));
        assertFalse(shared.isActive(), "half a command is left on it");
    }
}
