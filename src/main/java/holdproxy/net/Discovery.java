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
 * The list of cache nodes: a watch or one whole list when the module asks, which also decides when to ask
 * again after a failure. A list that does not parse changes nothing and ends the call as failed, since the
 * changes after it would not fit what we hold.
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    private static final int LONGEST_LIST = 1 << 20;

    /**
     * An empty line comes every 2 s; a cut-off machine says nothing at all. What a silent watch misses counts
     * as told 6 s after it fell silent: it has to be given up, opened anew and answered within that time.
     */
    private static final int SILENCE_MS = 3000;

    private static final int CONNECT_MS = 2000;

    /**
     * A call that follows a silent watch has to be answered within this time, dial included: an answer takes
     * up to 1 s, and one more call has to fit into the 6 s.
     */
    private static final int ANSWER_AFTER_SILENCE_MS = 1200;

    /** Where lists are pushed a dial may take this part of the grace: 1 of so many. */
    private static final int PUSHED_PART = 2;

    /** An entry of a list with the address and name that the module does not need. */
    record Entry(Router.Node node, String name, InetSocketAddress address) {}

    /** Who takes the lists, and whose clock counts. */
    interface Receiver {
        /** Microseconds, never going back. */
        long now();

        /** A Unix time in milliseconds on that clock. */
        long monotonic(long unixMs);

        /** A list has come; none, with a kind that says so, where a call has failed. */
        void nodes(Router.ListKind kind, List<Entry> entries);

        /** Discovery cannot be connected to. */
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

    /** The watch before has fallen silent, so that the next call may find silence as well. */
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

    /** What is pushed counts at once: a dial that does not come up must not outlast the grace. */
    private static int connectMs(Router.Settings settings) {
        long graceMs = settings.drainGraceUs / 1000;
        return settings.askForNodes || graceMs == 0
                ? CONNECT_MS
                : (int) Math.max(1, Math.min(CONNECT_MS, graceMs / PUSHED_PART));
    }

    /** The list that the configuration holds. */
    void start() {
        List<Entry> entries = entries(config.known);
        version = version(config.known);
        receiver.nodes(Router.ListKind.CACHED, entries);
    }

    /** The module asks for a watch: nothing where one is open, since each call costs list lines. */
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
     * SIGHUP: the watch goes on where this file says, and at once: what discovery has to tell counts from
     * the signal on, whether a watch was open or the module is waiting to ask again. Where machine rooms or
     * kinds have other numbers now, the nodes get them with the whole list.
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

    /** The version of the list that is held. */
    long version() {
        return version;
    }

    /** Ends the watch without a word of it. */
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
                throw new BadInput("a list entry is no object");
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
        throw new BadInput(key + " in a list entry is no number");
    }

    /** The module's number for a node: from its id alone, so that all proxies rank the nodes alike. */
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

    /** The number of a node that a list has named; null where none has, or it is forgotten. */
    Integer known(String id) {
        return numbers.get(id);
    }

    /** The node is gone for good, unless kept; ids are new with each machine and would pile up. */
    void forget(int number, Set<String> kept) {
        if (!kept.contains(names.get(number))) {
            numbers.remove(names.remove(number));
        }
    }

    /** One request to discovery: a watch or a single list. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean stream;
        private final JsonFraming framing = new JsonFraming(LONGEST_LIST);
        private final Channel channel;
        private boolean over;

        /** It has served: silence then is the connection's, and not that of a discovery that is down. */
        private boolean served;

        /** When no list was begun and not ended last. */
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
                failed("no answer after silence", Router.ListKind.SILENT);
                afterSilence = false; // once: from here on calls are further apart
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
                failed("an answer that is no HTTP");
                return;
            }
            if (message instanceof HttpResponse r && r.status().code() != 200) {
                failed("answer " + r.status().code());
                return;
            }
            if (message instanceof HttpContent c) {
                served = true;
                content(c.content());
                if (c instanceof LastHttpContent && !over) {
                    if (!framing.between()) {
                        failed("a list breaks off");
                    } else if (stream) {
                        failed("the watch has ended");
                    } else {
                        silently();
                    }
                }
            }
        }

        /** Each whole object is a list, on as many lines as it likes; a call for a single one has one. */
        private void content(ByteBuf bytes) {
            while (bytes.isReadable() && !over) {
                try {
                    String text = framing.read(bytes);
                    if (text != null) {
                        list(text);
                    }
                } catch (BadInput e) {
                    failed("a list is skipped: " + e.getMessage());
                }
            }
            if (framing.between()) {
                betweenUs = receiver.now();
            } else if (receiver.now() - betweenUs > SILENCE_MS * 1000L) {
                failed("a list does not end"); // the lines that say that it lives would keep it
                // for ever
            }
        }

        private void list(String text) {
            Map<String, Object> list = Config.parse(text);
            try {
                if (list == null) {
                    throw new BadInput("not JSON: " + Config.shown(text));
                }
                List<Entry> entries = entries(list);
                long newVersion = version(list);
                boolean full = Boolean.TRUE.equals(list.get("full"));
                if (newVersion < version) {
                    // of a discovery that has less: a node that drains would be sent to again
                    log.line(
                            "discovery: list "
                                    + newVersion
                                    + " is older than "
                                    + version
                                    + ": not taken");
                    return;
                }
                version = newVersion;
                receiver.nodes(full ? Router.ListKind.FULL : Router.ListKind.DELTA, entries);
            } catch (BadInput e) {
                failed("a list is skipped: " + e.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failed("the connection has ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            boolean silent = stream && served && cause instanceof ReadTimeoutException;
            failed(
                    silent ? "the watch has fallen silent" : cause.getClass().getSimpleName(),
                    silent ? Router.ListKind.SILENT : Router.ListKind.FAILED);
        }
    }
}
