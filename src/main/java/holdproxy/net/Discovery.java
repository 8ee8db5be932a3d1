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
    private static final int MAX_LIST_BYTES = 1 << 20;

    /**
     * Read timeout of a call. Discovery sends an empty line every 2 s; a machine that is cut off sends
     * nothing. Changes that a silent watch misses have to be in effect 6 s after it fell silent, so within
     * that time the watch has to time out and a new one has to be opened and answered.
     */
    private static final int READ_TIMEOUT_MS = 3000;

    private static final int CONNECT_TIMEOUT_MS = 2000;

    /**
     * Limit for the answer to a call that follows a silent watch, connecting included: an answer takes up to
     * 1 s, and one more call has to fit into the 6 s.
     */
    private static final int ANSWER_TIMEOUT_AFTER_SILENCE_MS = 1200;

    /** Where lists are pushed, connecting may take the drain grace divided by this. */
    private static final int PUSHED_GRACE_DIVISOR = 2;

    /** An entry of a list, with the name and address, which the router does not need. */
    record Entry(Router.Node node, String name, InetSocketAddress address) {}

    /** Receives the lists and supplies the clock. */
    interface Receiver {
        /** Monotonic time in microseconds. */
        long now();

        /** Converts a Unix time in milliseconds to the time of {@link #now}. */
        long toMonotonicUs(long unixMs);

        /** A list was received, or a call failed: then {@code kind} says so and there are no entries. */
        void onList(Router.ListKind kind, List<Entry> entries);

        /** No connection to discovery could be opened. */
        void onUnreachable();
    }

    private final Receiver receiver;
    private final Config config;
    private InetSocketAddress address;
    private List<?> zones;
    private List<?> kinds;
    private int connectTimeoutMs;
    private final Transport transport;
    private final Log log;
    private final Map<String, Integer> numberById = new HashMap<>();
    private final Map<Integer, String> idByNumber = new HashMap<>();
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
        connectTimeoutMs = connectTimeoutMs(config.settings);
        this.transport = transport;
        this.log = log;
    }

    /** Pushed lists take effect at once, so a failing connection attempt must end within the drain grace. */
    private static int connectTimeoutMs(Router.Settings settings) {
        long graceMs = settings.drainGraceUs / 1000;
        return settings.subscribesToNodes || graceMs == 0
                ? CONNECT_TIMEOUT_MS
                : (int) Math.max(1, Math.min(CONNECT_TIMEOUT_MS, graceMs / PUSHED_GRACE_DIVISOR));
    }

    /** Reports the list that the configuration contains. */
    void reportConfiguredList() {
        List<Entry> entries = parseEntries(config.initialList);
        version = parseVersion(config.initialList);
        receiver.onList(Router.ListKind.CACHED, entries);
    }

    /** Opens a watch unless one is open: each call costs discovery the lines of a list. */
    void ensureWatch() {
        if (watch == null || watch.ended) {
            openWatch(version);
        }
    }

    private void openWatch(long fromVersion) {
        if (watch != null) {
            watch.cancel();
        }
        watch = new Call(PATH + "?stream=1&index=" + fromVersion, true);
    }

    /**
     * Applies a configuration that was reloaded on SIGHUP. If the address of discovery has changed, a watch
     * is opened there at once, whether one was open or the router is waiting to retry: changes at the new
     * address count from the signal on. If zones or kinds are numbered differently now, the full list is
     * requested, which gives the nodes their new numbers.
     */
    void reconfigure(Config reloaded) {
        boolean renumbered = !reloaded.zones.equals(zones) || !reloaded.kinds.equals(kinds);
        boolean moved = !reloaded.discovery.equals(address);
        zones = reloaded.zones;
        kinds = reloaded.kinds;
        connectTimeoutMs = connectTimeoutMs(reloaded.settings);
        if (moved) {
            log.line("discovery is now at " + reloaded.discovery);
            address = reloaded.discovery;
        }
        if (moved || renumbered) {
            openWatch(renumbered ? 0 : version);
        }
    }

    long version() {
        return version;
    }

    /** Closes the watch without reporting a failure. */
    void close() {
        if (watch != null) {
            watch.cancel();
        }
    }

    void fetchFullList() {
        new Call(PATH, false);
    }

    private static long parseVersion(Map<String, Object> list) {
        if (list.get("version") instanceof Number n) {
            return n.longValue();
        }
        throw new BadInput("version is missing from the list");
    }

    private List<Entry> parseEntries(Map<String, Object> list) {
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
            entries.add(parseEntry(m));
        }
        return entries;
    }

    private Entry parseEntry(Map<String, Object> m) {
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
        n.id = numberFor(id);
        n.zone = zones.indexOf(m.get("zone"));
        n.kind = kinds.indexOf(m.get("kind"));
        n.cell = (int) numberField(m, "cell", 0);
        n.weight = numberField(m, "weight", 1);
        double started = numberField(m, "started_ms", 0);
        n.startedUs = started > 0 ? receiver.toMonotonicUs((long) started) : Long.MIN_VALUE;
        InetSocketAddress address =
                n.state == Router.NodeState.GONE && !(m.get("addr") instanceof String)
                        ? null
                        : Config.address(Config.text(m, "addr", where), "addr in a list entry");
        return new Entry(n, id, address);
    }

    private static double numberField(Map<String, Object> m, String key, double fallback) {
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
    int numberFor(String id) {
        Integer known = numberById.get(id);
        if (known != null) {
            return known;
        }
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        int number = (int) (h ^ h >>> 32);
        while (idByNumber.containsKey(number)) {
            number++;
        }
        numberById.put(id, number);
        idByNumber.put(number, id);
        return number;
    }

    /** The number of a node that a list has contained; null if none has or the node was forgotten. */
    Integer knownNumber(String id) {
        return numberById.get(id);
    }

    /**
     * Drops the number of a node that is gone, unless its id is in {@code kept}. Each new machine has a new
     * id, so that the numbers would accumulate.
     */
    void forget(int number, Set<String> kept) {
        if (!kept.contains(idByNumber.get(number))) {
            numberById.remove(idByNumber.remove(number));
        }
    }

    /** One request to discovery: a watch or a call for the full list. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean stream;
        private final JsonFraming framing = new JsonFraming(MAX_LIST_BYTES);
        private final Channel channel;
        private boolean ended;

        /** Content was received: silence is then a fault of the connection, not a discovery that is down. */
        private boolean contentReceived;

        /** When the stream was last between two lists, with none incomplete. */
        private long lastCompleteUs = receiver.now();

        Call(String path, boolean stream) {
            this.stream = stream;
            boolean limitAnswerTime = afterSilence;
            afterSilence = false;
            ChannelFuture connected =
                    transport.connect(
                            address,
                            connectTimeoutMs,
                            new ReadTimeoutHandler(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                            new HttpClientCodec(),
                            this);
            channel = connected.channel();
            if (limitAnswerTime) {
                channel.eventLoop()
                        .schedule(
                                this::answerOverdue,
                                ANSWER_TIMEOUT_AFTER_SILENCE_MS,
                                TimeUnit.MILLISECONDS);
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
                                    fail("no connection");
                                    receiver.onUnreachable();
                                }
                            });
        }

        private void answerOverdue() {
            if (!ended && !contentReceived) {
                fail("no answer to the call after a silent watch", Router.ListKind.SILENT);
                afterSilence = false; // only one call is limited: later ones are further apart
            }
        }

        void cancel() {
            ended = true;
            channel.close();
        }

        private void fail(String why) {
            fail(why, Router.ListKind.FAILED);
        }

        private void fail(String why, Router.ListKind kind) {
            if (ended) {
                return;
            }
            cancel();
            if (watch == this) {
                watch = null;
            }
            log.line("discovery: " + why);
            afterSilence = kind == Router.ListKind.SILENT;
            receiver.onList(kind, List.of());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (ended) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail("the response is not valid HTTP");
                return;
            }
            if (message instanceof HttpResponse r && r.status().code() != 200) {
                fail("unexpected HTTP status " + r.status().code());
                return;
            }
            if (message instanceof HttpContent c) {
                contentReceived = true;
                handleContent(c.content());
                if (c instanceof LastHttpContent && !ended) {
                    if (!framing.betweenObjects()) {
                        fail("the response ended in the middle of a list");
                    } else if (stream) {
                        fail("the watch was ended by discovery");
                    } else {
                        cancel();
                    }
                }
            }
        }

        /** Each JSON object is a list, whatever its line breaks; a call for the full list returns one. */
        private void handleContent(ByteBuf bytes) {
            while (bytes.isReadable() && !ended) {
                try {
                    String text = framing.read(bytes);
                    if (text != null) {
                        handleList(text);
                    }
                } catch (BadInput e) {
                    fail("list rejected: " + e.getMessage());
                }
            }
            if (framing.betweenObjects()) {
                lastCompleteUs = receiver.now();
            } else if (receiver.now() - lastCompleteUs > READ_TIMEOUT_MS * 1000L) {
                // the read timeout does not catch this: keep-alive lines reset it
                fail("a list was not completed in time");
            }
        }

        private void handleList(String text) {
            Map<String, Object> list = Config.parse(text);
            try {
                if (list == null) {
                    throw new BadInput("not valid JSON: " + Config.printable(text));
                }
                List<Entry> entries = parseEntries(list);
                long newVersion = parseVersion(list);
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
                receiver.onList(full ? Router.ListKind.FULL : Router.ListKind.DELTA, entries);
            } catch (BadInput e) {
                fail("list rejected: " + e.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            boolean silent = stream && contentReceived && cause instanceof ReadTimeoutException;
            fail(
                    silent ? "the watch fell silent" : cause.getClass().getSimpleName(),
                    silent ? Router.ListKind.SILENT : Router.ListKind.FAILED);
        }
    }
}
