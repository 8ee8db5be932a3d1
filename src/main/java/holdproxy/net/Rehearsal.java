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
 * Requests served before the proxy listens, with no socket: a client and a node in memory around a proxy of
 * their own. In a proxy that has served nothing every step is loaded and interpreted; with half a core its
 * first clients would wait until they give up, and the module would take that for a lack of capacity.
 */
final class Rehearsal implements Transport {
    /** Enough for what runs with each request to be compiled, which takes 200 calls and then some time. */
    static final int ROUNDS = 600;

    /** Where another process serves meanwhile: nobody waits for this one until all that is compiled. */
    static final int UNHURRIED_ROUNDS = 10 * ROUNDS;

    private static final int ROUNDS_PER_CLIENT = 4;

    private final List<EmbeddedChannel> nodes = new ArrayList<>();

    private Rehearsal() {}

    /** Returns how many requests were served. */
    static int run(Config config, int rounds) {
        return new Rehearsal().serve(config, rounds);
    }

    private int serve(Config config, int rounds) {
        // an event loop that nobody runs: the timers set here, that for the node list among them,
        // never fire
        Time time = Time.system();
        Proxy proxy =
                new Proxy(config, new EmbeddedChannel().eventLoop(), time, this, new Log(time));
        Router.Node node = new Router.Node();
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(new Discovery.Entry(node, "rehearsal", config.listen)));
        int served = 0;
        EmbeddedChannel client = null;
        for (int i = 0; i < rounds; i++) {
            proxy.tick(); // nobody runs its timers: without ticks it would take its loop for late
            if (i % ROUNDS_PER_CLIENT == 0) {
                close(client);
                client = new EmbeddedChannel(proxy.handlers());
            }
            client.writeInbound(request(config.settings, i));
            nodes.forEach(Rehearsal::answer);
            String answer = text(client);
            if (answer.startsWith("VA ") || answer.startsWith("HD ")) {
                served++;
            }
        }
        close(client);
        nodes.forEach(Rehearsal::close);
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
        throw new UnsupportedOperationException("a rehearsal has no listener");
    }

    @Override
    public void endSending(Channel channel) {
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

    /** What a node says to the command that has come to it. */
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

    /** As the wire has it. */
    static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** All that was written on a channel since this was asked last. */
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
