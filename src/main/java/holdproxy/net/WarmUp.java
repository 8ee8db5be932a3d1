package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Warms up the JVM before the proxy listens: serves requests through a separate proxy with an in-memory
 * client and node, without sockets. In a fresh JVM each step loads classes and runs interpreted; on half a
 * core the first clients would time out, which the router would take for a lack of capacity.
 */
final class WarmUp implements Transport {
    /** Enough to have the code of the request path compiled, which takes 200 calls and some time after. */
    static final int ROUNDS = 600;

    /** For an upgrade: another process serves meanwhile, so there is time to have all of it compiled. */
    static final int UPGRADE_ROUNDS = 10 * ROUNDS;

    private static final int ROUNDS_PER_CLIENT = 4;

    private final List<EmbeddedChannel> nodes = new ArrayList<>();

    private WarmUp() {}

    /** Returns the number of requests served. */
    static int run(Config config, int rounds) {
        return new WarmUp().serve(config, rounds);
    }

    private int serve(Config config, int rounds) {
        // nothing runs this event loop, so no timer set here fires, such as that for the node list
        Clock time = Clock.system();
        Proxy proxy =
                new Proxy(config, new EmbeddedChannel().eventLoop(), time, this, new Log(time));
        Router.Node node = new Router.Node();
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(new Discovery.Entry(node, "rehearsal", config.listen)));
        int served = 0;
        EmbeddedChannel client = null;
        for (int i = 0; i < rounds; i++) {
            proxy.tick(); // timers do not run; without ticks the loop would count as late
            if (i % ROUNDS_PER_CLIENT == 0) {
                close(client);
                client = new EmbeddedChannel(proxy.handlers());
            }
            client.writeInbound(request(config.settings, i));
            nodes.forEach(WarmUp::answer);
            String answer = text(client);
            if (answer.startsWith("VA ") || answer.startsWith("HD ")) {
                served++;
            }
        }
        close(client);
        nodes.forEach(WarmUp::close);
        return served;
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        EmbeddedChannel node = new EmbeddedChannel(handlers);
        nodes.add(node);
        return node.newSucceededFuture();
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        throw new UnsupportedOperationException("the warm-up has no listener");
    }

    @Override
    public void shutdownOutput(Channel channel) {
        channel.close();
    }

    private static ByteBuf request(Router.Settings settings, int i) {
        String fields =
                " O"
                        + i
                        + " Pc="
                        + settings.classes[i % settings.classes.length].name
                        + (settings.tenants.length == 0
                                ? ""
                                : ",t=" + settings.tenants[i % settings.tenants.length].name)
                        + ",d=60000";
        return bytes(
                i % 8 != 0
                        ? "mg " + Integer.toHexString(i) + " v" + fields + "\r\n"
                        : "ms "
                                + Integer.toHexString(i)
                                + " 5"
                                + fields
                                + ",k="
                                + i
                                + "\r\nhello\r\n");
    }

    /** Answers the command that the node has received, if any. */
    private static void answer(EmbeddedChannel node) {
        String command = text(node);
        if (!command.isEmpty()) {
            int at = command.indexOf(" O") + 1;
            String id = command.substring(at, command.indexOf(' ', at));
            node.writeInbound(
                    bytes(
                            command.startsWith("mg")
                                    ? "VA 5 " + id + "\r\nhello\r\n"
                                    : "HD " + id + " c1\r\n"));
        }
    }

    /** Encodes text as on the wire. */
    static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** Everything that was written to the channel since the last call. */
    static String text(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            text.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        return text.toString();
    }

    private static void close(EmbeddedChannel channel) {
        if (channel != null) {
            channel.finishAndReleaseAll();
        }
    }
}
