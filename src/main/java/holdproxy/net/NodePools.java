package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** All connections to cache nodes, by the router's number of the node, within one limit on descriptors. */
final class NodePools {
    /** Idle connections are closed before the node does it: 1 part in this many of its timeout earlier. */
    private static final long IDLE_MARGIN_DIVISOR = 5;

    /** Bound on what is held of nodes' values up to 64 KiB that arrive in parts. */
    private static final long MAX_PARTIAL_RESPONSE_BYTES = 8L << 20;

    final Proxy proxy;
    final Log log;
    private final ByteBudget partialResponseBytes = new ByteBudget(MAX_PARTIAL_RESPONSE_BYTES);
    private final RecvByteBufAllocator receiveBuffers;
    int maxStreams;
    long idleTimeoutUs;
    private final int maxConnections;
    private final EventLoop loop;
    private final Transport transport;
    private long dialTimeoutUs;
    private final Map<Integer, NodePool> byId = new HashMap<>();
    private int openConnections;
    private int dials;
    private int dialsFailed;
    private int reused;

    NodePools(
            Proxy proxy,
            Config config,
            EventLoop loop,
            Log log,
            int maxConnections,
            Transport transport) {
        this.proxy = proxy;
        this.log = log;
        this.maxConnections = maxConnections;
        this.loop = loop;
        this.transport = transport;
        receiveBuffers = new RelayReceiveBuffers(proxy.relays::hasRoom);
        applySettings(config.settings);
    }

    /** Applies settings to the connections that are opened from now on and to all idle ones. */
    void applySettings(Router.Settings settings) {
        // a drain may be received while an attempt waits for its connection: the attempt has to be
        // written within the drain's grace
        long graceUs = settings.drainGraceUs;
        dialTimeoutUs =
                graceUs > 0
                        ? Math.min(settings.dialTimeoutUs, graceUs / 2)
                        : settings.dialTimeoutUs;
        // an attempt given up on a shared connection may still run at the node: connections are
        // shared only where second copies are allowed
        maxStreams = settings.secondCopies ? settings.streamsPerConnection : 1;
        idleTimeoutUs = settings.idleCloseUs - settings.idleCloseUs / IDLE_MARGIN_DIVISOR;
        byId.values().forEach(NodePool::onSettingsChanged);
    }

    /** Adds or updates a node of the list; it gets requests unless operators have left it out. */
    void put(int id, String name, InetSocketAddress address, boolean out) {
        NodePool pool = byId.computeIfAbsent(id, i -> new NodePool(this, name, address));
        pool.include(address);
        if (out) {
            pool.exclude();
        }
    }

    /** Applies that operators have left this node out or use it again. */
    void leaveOut(int id, boolean out) {
        NodePool pool = byId.get(id);
        if (pool != null && out) {
            pool.exclude();
        } else if (pool != null) {
            pool.include(pool.address);
        }
    }

    /** The node has left the list ({@code gone}) or takes no new requests. */
    void exclude(int id, boolean gone) {
        NodePool pool = byId.get(id);
        if (pool != null) {
            pool.exclude();
            if (gone) {
                byId.remove(id);
            }
        }
    }

    NodePool get(int id) {
        return byId.get(id);
    }

    Future<?> schedule(long us, Runnable task) {
        return loop.schedule(task, us, TimeUnit.MICROSECONDS);
    }

    /** Opens a connection; null if no descriptor is left for it. */
    NodeConnection open(NodePool pool) {
        if (openConnections >= maxConnections
                && byId.values().stream().noneMatch(NodePool::closeOldest)) {
            return null;
        }
        openConnections++;
        dials++;
        NodeResponse.Decoder decoder = new NodeResponse.Decoder(partialResponseBytes);
        NodeConnection c = new NodeConnection(pool, pool.address, dialTimeoutUs, decoder);
        pool.onOpened(c);
        ChannelFuture connected =
                transport.connect(
                        pool.address, (int) Math.max(1, dialTimeoutUs / 1000), decoder, c);
        connected.channel().config().setRecvByteBufAllocator(receiveBuffers);
        connected.addListener((ChannelFutureListener) c::onConnectDone);
        return c;
    }

    void countFailedDial() {
        dialsFailed++;
    }

    void countReused() {
        reused++;
    }

    /** Connections opened, failed and reused since the last call, and how many are open. */
    String countsSinceLastCall() {
        String text =
                dials + reused == 0
                        ? ""
                        : " dials="
                                + dials
                                + " dials_failed="
                                + dialsFailed
                                + " reused="
                                + reused
                                + " open="
                                + openConnections;
        dials = dialsFailed = reused = 0;
        return text;
    }

    void connectionClosed() {
        openConnections--;
    }
}
