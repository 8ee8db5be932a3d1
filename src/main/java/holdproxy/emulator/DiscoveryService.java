package holdproxy.emulator;

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
    private static final long HEARTBEAT_US = 2_000_000;

    private record Change(
            long version,
            String node,
            InetSocketAddress address,
            String zone,
            String kind,
            String state,
            long startedMs) {}

    private final Scheduler loop;
    private final SiteRecord record;
    private final long callUs;
    private final Predicate<String> unreachable;
    private final BiFunction<String, InetSocketAddress, InetSocketAddress> addressForProxy;
    private final List<Change> changes = new ArrayList<>();

    /** Open watches, each with the name of its proxy. */
    private final Map<Channel, String> watches = new LinkedHashMap<>();

    private final Map<String, Change> latest = new LinkedHashMap<>();
    private SiteNetwork network;
    private long version;
    private long freeAtUs;
    private boolean down;

    /**
     * Creates a service that isn't started.
     *
     * @param callUs time that each call takes
     * @param unreachable whether messages to this proxy are lost
     * @param addressForProxy maps a proxy and a node's address to the address at which that proxy reaches
     *     the node
     */
    public DiscoveryService(
            Scheduler loop,
            SiteRecord record,
            long callUs,
            Predicate<String> unreachable,
            BiFunction<String, InetSocketAddress, InetSocketAddress> addressForProxy) {
        this.unreachable = unreachable;
        this.addressForProxy = addressForProxy;
        this.loop = loop;
        this.record = record;
        this.callUs = callUs;
    }

    /** Starts to accept calls at this address. */
    public void start(SiteNetwork network, InetSocketAddress address) {
        this.network = network;
        network.listen(address, () -> new ChannelHandler[] {new HttpServerCodec(), new Call()});
        sendHeartbeats();
    }

    /** Takes it down or up again; while down it answers 503. Going down closes all watches. */
    public void setDown(boolean isDown) {
        record.add(loop.nowUs(), Event.Kind.FAULT, "discovery", "", isDown ? "down" : "up");
        down = isDown;
        if (isDown) {
            List.copyOf(watches.keySet()).forEach(Channel::close);
            watches.clear();
        }
    }

    /** Sets a node's state (SERVING, DRAINING or DELETED) and pushes it to all watches. */
    public void setState(
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
                    writeLine(watch, list(proxy, false, List.of(change)));
                    recordTold(proxy, change);
                });
    }

    /** The current full list for a proxy that starts with it; recorded as sent to the proxy. */
    public String fullList(String proxy) {
        latest.values().forEach(c -> recordTold(proxy, c));
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
        String address = formatAddress(addressForProxy.apply(proxy, c.address));
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

    private void recordTold(String proxy, Change change) {
        if (unreachable.test(proxy)) {
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
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void writeLine(Channel watch, String line) {
        watch.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8)));
    }

    private void sendHeartbeats() {
        watches.keySet().forEach(w -> writeLine(w, ""));
        loop.schedule(HEARTBEAT_US, this::sendHeartbeats);
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                QueryStringDecoder query = new QueryStringDecoder(request.uri());
                freeAtUs = Math.max(freeAtUs, loop.nowUs()) + callUs;
                loop.schedule(
                        freeAtUs - loop.nowUs(), () -> answer(ctx.channel(), query.parameters()));
            }
        }

        private void answer(Channel channel, Map<String, List<String>> parameters) {
            if (down) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE));
                channel.close();
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            channel.writeAndFlush(head);
            String proxy = network.peerName(channel);
            long since =
                    parameters.containsKey("index")
                            ? Long.parseLong(parameters.get("index").get(0))
                            : 0;
            List<Change> missed = changes.stream().filter(c -> c.version > since).toList();
            writeLine(channel, list(proxy, false, missed));
            missed.forEach(c -> recordTold(proxy, c));
            watches.put(channel, proxy);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(ctx.channel());
        }
    }
}
