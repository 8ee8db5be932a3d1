package holdproxy.net;

import holdproxy.input.BadInput;
import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Client of the discovery service: gets the list of cache nodes, by a watch or by a single call for the full
 * list. The router requests each call and decides when to retry after a failure. A list that does not parse
 * is not applied, and the call fails: later deltas would not fit the list that is held.
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    private static final int LONGEST_LIST = 1 << 20;

    /**
     * Read timeout of a call. Discovery sends an empty line every 2 s; a machine that is cut off sends
     * nothing. Changes that a silent watch misses have to be in effect 6 s after it fell silent, so within
     * that time the watch has to time out and a new one has to be opened and answered.
     */
    private static final int SILENCE_MS = 3000;

    private static final int CONNECT_MS = 2000;

    /**
     * Limit for the answer to a call that follows a silent watch, connecting included: an answer takes up to
     * 1 s, and one more call has to fit into the 6 s.
     */
    private static final int ANSWER_AFTER_SILENCE_MS = 1200;

    /** Where lists are pushed, connecting may take the drain grace divided by this. */
    private static final int PUSHED_PART = 2;

    /** An entry of a list, with the name and address, which the router does not need. */
    record Entry(Router.Node node, String name, InetSocketAddress address) {}

    /** Receives the lists and supplies the clock. */
    interface Receiver {
        /** Monotonic time in microseconds. */
        long now();

        /** Converts a Unix time in milliseconds to the time of {@link #now}. */
        long monotonic(long unixMs);

        /** A list was received, or a call failed: then {@code kind} says so and there are no entries. */
        void nodes(Router.ListKind kind, List<Entry> entries);

        /** No connection to discovery could be opened. */
        void unreachable();
    }

    private final Receiver receiver;
    private final Config config;
    private InetSocketAddress address;
    private List<?> zones;
    private List<?> kinds;
    private int connectMs;
    private final Transport transport;
    private final Log log;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private long version;
    private Call watch;

    /** The last watch fell silent, so the next call may get no answer either. */
    private boolean afterSilence;

    Discovery(Receiver receiver, Config config, Transport transport, Log log) {
        this.receiver = receiver;
        this.config = config;
        address = config.discovery;
        zones = config.zones;
        kinds = config.kinds;
        connectMs = connectMs(config.settings);
        this.transport = transport;
        this.log = log;
    }

    /** Pushed lists take effect at once, so a failing connection attempt must end within the drain grace. */
    private static int connectMs(Router.Settings settings) {
        long graceMs = settings.drainGraceUs / 1000;
        return settings.askForNodes || graceMs == 0
                ? CONNECT_MS
                : (int) Math.max(1, Math.min(CONNECT_MS, graceMs / PUSHED_PART));
    }

    /** Reports the list that the configuration contains. */
    void start() {
        List<Entry> entries = entries(config.known);
        version = version(config.known);
        receiver.nodes(Router.ListKind.CACHED, entries);
    }

    /** Opens a watch unless one is open: each call costs discovery the lines of a list. */
    void watch() {
        if (watch == null || watch.over) {
            open(version);
        }
    }

    private void open(long from) {
        if (watch != null) {
            watch.silently();
        }
        watch = new Call(PATH + "?stream=1&index=" + from, true);
    }

    /**
     * Applies a configuration that was reloaded on SIGHUP. If the address of discovery has changed, a watch
     * is opened there at once, whether one was open or the router is waiting to retry: changes at the new
     * address count from the signal on. If zones or kinds are numbered differently now, the full list is
     * requested, which gives the nodes their new numbers.
     */
    void taken(Config now) {
        boolean renumbered = !now.zones.equals(zones) || !now.kinds.equals(kinds);
        boolean moved = !now.discovery.equals(address);
        zones = now.zones;
        kinds = now.kinds;
        connectMs = connectMs(now.settings);
        if (moved) {
            log.line("discovery is now at " + now.discovery);
            address = now.discovery;
        }
        if (moved || renumbered) {
            open(renumbered ? 0 : version);
        }
    }

    long version() {
        return version;
    }

    /** Closes the watch without reporting a failure. */
    void close() {
        if (watch != null) {
            watch.silently();
        }
    }

    void fetch() {
        new Call(PATH, false);
    }

    private static long version(Map<String, Object> list) {
        if (list.get("version") instanceof Number n) {
            return n.longValue();
        }
        throw new BadInput("version is missing from the list");
    }

    private List<Entry> entries(Map<String, Object> list) {
        if (!(list.get("servers") instanceof List<?> servers)) {
            throw new BadInput("servers is missing from the list");
        }
        List<Entry> entries = new ArrayList<>(servers.size());
        for (Object o : servers) {
            if (!(o instanceof Map<?, ?>)) {
                throw new BadInput("a list entry is not an object");
            }
            @SuppressWarnings("unchecked") // the parser makes no other maps than these
            Map<String, Object> m = (Map<String, Object>) o;
            entries.add(entry(m));
        }
        return entries;
    }

    private Entry entry(Map<String, Object> m) {
        String where = "a list entry";
        String id = Config.text(m, "id", where);
        Router.Node n = new Router.Node();
        n.state =
                switch (Config.text(m, "state", where)) {
                    case "SERVING" -> Router.NodeState.READY;
                    case "DRAINING" -> Router.NodeState.DRAINING;
                    case "DELETED" -> Router.NodeState.GONE;
                    default -> throw new BadInput("a list entry has an unknown state");
                };
        n.id = number(id);
        n.zone = zones.indexOf(m.get("zone"));
        n.kind = kinds.indexOf(m.get("kind"));
        n.cell = (int) figure(m, "cell", 0);
        n.weight = figure(m, "weight", 1);
        double started = figure(m, "started_ms", 0);
        n.startedUs = started > 0 ? receiver.monotonic((long) started) : Long.MIN_VALUE;
        InetSocketAddress address =
                n.state == Router.NodeState.GONE && !(m.get("addr") instanceof String)
                        ? null
                        : Config.address(Config.text(m, "addr", where), "addr in a list entry");
        return new Entry(n, id, address);
    }

    private static double figure(Map<String, Object> m, String key, double fallback) {
        Object o = m.get(key);
        if (o == null) {
            return fallback;
        }
        if (o instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() < 1e15) {
            return n.doubleValue();
        }
        throw new BadInput(key + " in a list entry is not a non-negative number below 1e15");
    }

    /**
     * The router's number for a node: a hash of the id alone (collisions aside), so that all proxies rank the
     * nodes alike.
     */
    int number(String id) {
        Integer known = numbers.get(id);
        if (known != null) {
            return known;
        }
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        int number = (int) (h ^ h >>> 32);
        while (names.containsKey(number)) {
            number++;
        }
        numbers.put(id, number);
        names.put(number, id);
        return number;
    }

    /** The number of a node that a list has contained; null if none has or the node was forgotten. */
    Integer known(String id) {
        return numbers.get(id);
    }

    /**
     * Drops the number of a node that is gone, unless its id is in {@code kept}. Each new machine has a new
     * id, so that the numbers would accumulate.
     */
    void forget(int number, Set<String> kept) {
        if (!kept.contains(names.get(number))) {
            numbers.remove(names.remove(number));
        }
    }

    /** One request to discovery: a watch or a call for the full list. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean stream;
        private final JsonFraming framing = new JsonFraming(LONGEST_LIST);
        private final Channel channel;
        private boolean over;

        /** Content was received: silence is then a fault of the connection, not a discovery that is down. */
        private boolean served;

        /** When the stream was last between two lists, with none incomplete. */
        private long betweenUs = receiver.now();

        Call(String path, boolean stream) {
            this.stream = stream;
            boolean limited = afterSilence;
            afterSilence = false;
            ChannelFuture connected =
                    transport.connect(
                            address,
                            connectMs,
                            new ReadTimeoutHandler(SILENCE_MS, TimeUnit.MILLISECONDS),
                            new HttpClientCodec(),
                            this);
            channel = connected.channel();
            if (limited) {
                channel.eventLoop()
                        .schedule(
                                this::silentAgain, ANSWER_AFTER_SILENCE_MS, TimeUnit.MILLISECONDS);
            }
            connected.addListener(
                    (ChannelFutureListener)
                            f -> {
                                if (f.isSuccess()) {
                                    DefaultFullHttpRequest get =
                                            new DefaultFullHttpRequest(
                                                    HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                                    get.headers()
                                            .set(
                                                    HttpHeaderNames.HOST,
                                                    NetUtil.toSocketAddressString(address));
                                    f.channel().writeAndFlush(get);
                                } else {
                                    failed("no connection");
                                    receiver.unreachable();
                                }
                            });
        }

        private void silentAgain() {
            if (!served) {
                failed("no answer to the call after a silent watch", Router.ListKind.SILENT);
                afterSilence = false; // only one call is limited: later ones are further apart
            }
        }

        void silently() {
            over = true;
            channel.close();
        }

        private void failed(String why) {
            failed(why, Router.ListKind.FAILED);
        }

        private void failed(String why, Router.ListKind kind) {
            if (over) {
                return;
            }
            silently();
            if (watch == this) {
                watch = null;
            }
            log.line("discovery: " + why);
            afterSilence = kind == Router.ListKind.SILENT;
            receiver.nodes(kind, List.of());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (over) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                failed("the response is not valid HTTP");
                return;
            }
            if (message instanceof HttpResponse r && r.status().code() != 200) {
                failed("unexpected HTTP status " + r.status().code());
                return;
            }
            if (message instanceof HttpContent c) {
                served = true;
                content(c.content());
                if (c instanceof LastHttpContent && !over) {
                    if (!framing.between()) {
                        failed("the response ended in the middle of a list");
                    } else if (stream) {
                        failed("the watch was ended by discovery");
                    } else {
                        silently();
                    }
                }
            }
        }

        /** Each JSON object is a list, whatever its line breaks; a call for the full list returns one. */
        private void content(ByteBuf bytes) {
            while (bytes.isReadable() && !over) {
                try {
                    String text = framing.read(bytes);
                    if (text != null) {
                        list(text);
                    }
                } catch (BadInput e) {
                    failed("list rejected: " + e.getMessage());
                }
            }
            if (framing.between()) {
                betweenUs = receiver.now();
            } else if (receiver.now() - betweenUs > SILENCE_MS * 1000L) {
                // the read timeout does not catch this: keep-alive lines reset it
                failed("a list was not completed in time");
            }
        }

        private void list(String text) {
            Map<String, Object> list = Config.parse(text);
            try {
                if (list == null) {
                    throw new BadInput("not valid JSON: " + Config.shown(text));
                }
                List<Entry> entries = entries(list);
                long newVersion = version(list);
                boolean full = Boolean.TRUE.equals(list.get("full"));
                if (newVersion < version) {
                    // this instance of discovery lags behind: its list could make a draining node
                    // eligible again
                    log.line(
                            "discovery: list "
                                    + newVersion
                                    + " is older than "
                                    + version
                                    + ": ignored");
                    return;
                }
                version = newVersion;
                receiver.nodes(full ? Router.ListKind.FULL : Router.ListKind.DELTA, entries);
            } catch (BadInput e) {
                failed("list rejected: " + e.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failed("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            boolean silent = stream && served && cause instanceof ReadTimeoutException;
            failed(
                    silent ? "the watch fell silent" : cause.getClass().getSimpleName(),
                    silent ? Router.ListKind.SILENT : Router.ListKind.FAILED);
        }
    }
}
