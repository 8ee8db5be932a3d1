package holdproxy.net;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** This proxy's connections to one cache node. */
final class NodePool {
    final NodePools pools;
    final String name;
    InetSocketAddress address;

    /** The node gets no new requests, so a connection is closed rather than kept after its last answer. */
    private boolean left;

    private final List<NodeConnection> all = new ArrayList<>();

    /** Most recently used last. The last is taken first, so that surplus connections time out. */
    private final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();

    private final Map<NodeConnection, Future<?>> idleTimers = new HashMap<>();

    NodePool(NodePools pools, String name, InetSocketAddress address) {
        this.pools = pools;
        this.name = name;
        this.address = address;
    }

    void send(Attempt a) {
        boolean repeatable = a.exchange.repeatable;
        NodeConnection c = idle(repeatable);
        if (c == null) {
            c = pools.open(this);
        }
        if (c == null && repeatable) {
            c = shared();
        }
        if (c == null) {
            pools.log.line("no file descriptor left for a connection to node " + name);
            pools.proxy.ended(a, a.broken(), null);
            return;
        }
        c.add(a);
    }

    /**
     * The most recently used idle connection that is usable; for a request that must not run twice, one whose
     * next answer can only be its own. Null if there is none.
     */
    private NodeConnection idle(boolean repeatable) {
        long now = pools.proxy.now();
        while (!idle.isEmpty() && now - idle.peekFirst().idleSinceUs >= pools.idleUs) {
            idle.peekFirst().close(); // the event loop was late to run its timer
        }
        for (Iterator<NodeConnection> newest = idle.descendingIterator(); newest.hasNext(); ) {
            NodeConnection c = newest.next();
            if (c.usable() && (repeatable || c.certain(now))) {
                newest.remove();
                stopTimer(c);
                pools.reused();
                return c;
            }
        }
        return null;
    }

    /** Whether new attempts may start on this connection: the node takes them and has not moved. */
    boolean takes(NodeConnection c) {
        return !left && address.equals(c.address);
    }

    /**
     * The usable connection with the fewest attempts, to share it. Only for when no descriptor is left: on a
     * shared connection a quick answer waits behind a slow one.
     */
    private NodeConnection shared() {
        NodeConnection best = null;
        if (pools.streams > 1) {
            for (NodeConnection c : all) {
                if (c.usable()
                        && c.load() < pools.streams
                        && (best == null || c.load() < best.load())) {
                    best = c;
                }
            }
        }
        return best;
    }

    void added(NodeConnection c) {
        all.add(c);
    }

    void idle(NodeConnection c) {
        if (!takes(c)) {
            c.close();
            return;
        }
        c.idleSinceUs = pools.proxy.now();
        idle.addLast(c);
        closeWhenOld(c);
    }

    /** Closes the connection before the node does: a request written just then would end as a reset. */
    private void closeWhenOld(NodeConnection c) {
        long left = c.idleSinceUs + pools.idleUs - pools.proxy.now();
        idleTimers.put(c, pools.after(Math.max(0, left), c::close));
    }

    /** Applies new settings to the connections that are idle already. */
    void retuned() {
        for (NodeConnection c : idle) {
            stopTimer(c);
            closeWhenOld(c);
        }
    }

    private void stopTimer(NodeConnection c) {
        Future<?> timer = idleTimers.remove(c);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    void removed(NodeConnection c) {
        if (all.remove(c)) {
            idle.remove(c);
            stopTimer(c);
            pools.closed();
        }
    }

    void leave() {
        left = true;
        nothingNew();
    }

    /** Started attempts go on; those that wait for a connection go back to the router at once. */
    private void nothingNew() {
        closeIdle();
        for (NodeConnection c : List.copyOf(all)) {
            if (!takes(c)) {
                c.handBack();
            }
        }
    }

    void listed(InetSocketAddress now) {
        left = false;
        if (!address.equals(now)) {
            address = now;
            nothingNew();
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.peekFirst().close();
        }
    }

    /** Closes the connection that has been idle longest; returns false if none is idle. */
    boolean closeOldest() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.peekFirst().close();
        return true;
    }
}
