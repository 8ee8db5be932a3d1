package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** All connections to cache nodes, by the router's number of the node, within one limit on descriptors. */
final class NodePools {
    /** Idle connections are closed before the node does it: 1 part in this many of its timeout earlier. */
    private static final long IDLE_SHARE = 5;

    final Proxy proxy;
    final Log log;
    int streams;
    long idleUs;
    private final int most;
    private final EventLoop loop;
    private final Transport transport;
    private long dialUs;
    private final Map<Integer, NodePool> byId = new HashMap<>();
    private int open;
    private int dials;
    private int dialsFailed;
    private int reused;

    NodePools(Proxy proxy, Config config, EventLoop loop, Log log, int most, Transport transport) {
        this.proxy = proxy;
        this.log = log;
        this.most = most;
        this.loop = loop;
        this.transport = transport;
        retune(config.settings);
    }

    /** Applies settings to the connections that are opened from now on and to all idle ones. */
    void retune(Router.Settings settings) {
        // a drain may be received while an attempt waits for its connection: the attempt has to be
        // written within the drain's grace
        long grace = settings.drainGraceUs;
        dialUs = grace > 0 ? Math.min(settings.dialTimeoutUs, grace / 2) : settings.dialTimeoutUs;
        // an attempt given up on a shared connection may still run at the node: connections are
        // shared only where second copies are allowed
        streams = settings.secondCopies ? settings.streamsPerConnection : 1;
        idleUs = settings.idleCloseUs - settings.idleCloseUs / IDLE_SHARE;
        byId.values().forEach(NodePool::retuned);
    }

    /** Adds or updates a node of the list; it gets requests unless operators have left it out. */
    void put(int id, String name, InetSocketAddress address, boolean out) {
        NodePool pool = byId.computeIfAbsent(id, i -> new NodePool(this, name, address));
        pool.listed(address);
        if (out) {
            pool.leave();
        }
    }

    /** Applies that operators have left this node out or use it again. */
    void leaveOut(int id, boolean out) {
        NodePool pool = byId.get(id);
        if (pool != null && out) {
            pool.leave();
        } else if (pool != null) {
            pool.listed(pool.address);
        }
    }

    /** The node has left the list ({@code gone}) or takes no new requests. */
    void leave(int id, boolean gone) {
        NodePool pool = byId.get(id);
        if (pool != null) {
            pool.leave();
            if (gone) {
                byId.remove(id);
            }
        }
    }

    NodePool get(int id) {
        return byId.get(id);
    }

    Future<?> after(long us, Runnable task) {
        return loop.schedule(task, us, TimeUnit.MICROSECONDS);
    }

    /** Opens a connection; null if no descriptor is left for it. */
    NodeConnection open(NodePool pool) {
        if (open >= most && byId.values().stream().noneMatch(NodePool::closeOldest)) {
            return null;
        }
        open++;
        dials++;
        NodeConnection c = new NodeConnection(pool, pool.address, dialUs);
        pool.added(c);
        transport
                .connect(pool.address, (int) Math.max(1, dialUs / 1000), new Answer.Decoder(), c)
                .addListener((ChannelFutureListener) c::dialed);
        return c;
    }

    void dialFailed() {
        dialsFailed++;
    }

    void reused() {
        reused++;
    }

    /** Connections opened, failed and reused since the last call, and how many are open. */
    String counted() {
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
                                + open;
        dials = dialsFailed = reused = 0;
        return text;
    }

    void closed() {
        open--;
    }
}
