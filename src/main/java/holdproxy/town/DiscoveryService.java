package holdproxy.town;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/** The emulated discovery: serves the node list over HTTP, one call at a time, and pushes changes. */
public final class DiscoveryService {
    private static final long BEAT_US = 2_000_000;

    private record Change(
            long version,
            String node,
            InetSocketAddress address,
            String zone,
            String kind,
            String state,
            long startedMs) {}

    private final Timeline loop;
    private final TownRecord record;
    private final long callUs;
    private final Predicate<String> unheard;
    private final BiFunction<String, InetSocketAddress, InetSocketAddress> places;
    private final List<Change> changes = new ArrayList<>();

    /** Open watches, each with the name of its proxy. */
    private final Map<Channel, String> watches = new LinkedHashMap<>();

    private final Map<String, Change> latest = new LinkedHashMap<>();
    private TownNetwork network;
    private long version;
    private long freeAtUs;
    private boolean down;

    /**
     * Creates a service that isn't started.
     *
     * @param callUs time that each call takes
     * @param unheard whether messages to this proxy are lost
     * @param places maps a proxy and a node's address to the address at which that proxy reaches the node
     */
    public DiscoveryService(
            Timeline loop,
            TownRecord record,
            long callUs,
            Predicate<String> unheard,
            BiFunction<String, InetSocketAddress, InetSocketAddress> places) {
        this.unheard = unheard;
        this.places = places;
        this.loop = loop;
        this.record = record;
        this.callUs = callUs;
    }

    /** Starts to accept calls at this address. */
    public void start(TownNetwork network, InetSocketAddress address) {
        this.network = network;
        network.listen(address, () -> new ChannelHandler[] {new HttpServerCodec(), new Call()});
        beat();
    }

    /** Takes it down or up again; while down it answers 503. Going down closes all watches. */
    public void down(boolean isDown) {
        record.add(loop.nowUs(), Event.Kind.FAULT, "discovery", "", isDown ? "down" : "up");
        down = isDown;
        if (isDown) {
            List.copyOf(watches.keySet()).forEach(Channel::close);
            watches.clear();
        }
    }

    /** Sets a node's state (SERVING, DRAINING or DELETED) and pushes it to all watches. */
    public void set(
            String node,
            InetSocketAddress address,
            String zone,
            String kind,
            String state,
            long startedMs) {
        Change change = new Change(++version, node, address, zone, kind, state, startedMs);
        changes.add(change);
        if (state.equals("DELETED")) {
            latest.remove(node);
        } else {
            latest.put(node, change);
        }
        watches.forEach(
                (watch, proxy) -> {
                    chunk(watch, list(proxy, false, List.of(change)));
                    told(proxy, change);
                });
    }

    /** The current full list for a proxy that starts with it; recorded as told to the proxy. */
    public String whole(String proxy) {
        latest.values().forEach(c -> told(proxy, c));
        return list(proxy, true, List.copyOf(latest.values()));
    }

    private String list(String proxy, boolean full, List<Change> entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries.stream().map(c -> entry(proxy, c)).toList())
                + "]}";
    }

    private String entry(String proxy, Change c) {
        String address = text(places.apply(proxy, c.address));
        return "{\"id\":\""
                + c.node
                + "\",\"addr\":\""
                + address
                + "\",\"zone\":\""
                + c.zone
                + "\",\"kind\":\""
                + c.kind
                + "\",\"cell\":0,\"state\":\""
                + c.state
                + "\",\"weight\":1.0,"
                + "\"started_ms\":"
                + c.startedMs
                + "}";
    }

    private void told(String proxy, Change change) {
        if (unheard.test(proxy)) {
            return; // the proxy gets the change when it opens its next watch
        }
        record.add(
                loop.nowUs(),
                Event.Kind.TOLD,
                proxy,
                change.node,
                change.state + " " + change.startedMs);
    }

    /** The form of an address in discovery's answers: host, colon, port. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void chunk(Channel watch, String line) {
        watch.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8)));
    }

    private void beat() {
        watches.keySet().forEach(w -> chunk(w, ""));
        loop.after(BEAT_US, this::beat);
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                QueryStringDecoder asked = new QueryStringDecoder(request.uri());
                freeAtUs = Math.max(freeAtUs, loop.nowUs()) + callUs;
                loop.after(
                        freeAtUs - loop.nowUs(), () -> answer(ctx.channel(), asked.parameters()));
            }
        }

        private void answer(Channel ch, Map<String, List<String>> asked) {
            if (down) {
                ch.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE));
                ch.close();
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ch.writeAndFlush(head);
            String proxy = network.peer(ch);
            long since = asked.containsKey("index") ? Long.parseLong(asked.get("index").get(0)) : 0;
            List<Change> missed = changes.stream().filter(c -> c.version > since).toList();
            chunk(ch, list(proxy, false, missed));
            missed.forEach(c -> told(proxy, c));
            watches.put(ch, proxy);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(ctx.channel());
        }
    }
}
