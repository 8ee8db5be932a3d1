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
    private boolean excluded;

    private final List<NodeConnection> connections = new ArrayList<>();

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
        NodeConnection c = takeIdle(repeatable);
        if (c == null) {
            c = pools.open(this);
        }
        if (c == null && repeatable) {
            c = leastLoaded();
        }
        if (c == null) {
            pools.log.line("no file descriptor left for a connection to node " + name);
            pools.proxy.attemptEnded(a, a.outcomeIfDisconnected(), null);
            return;
        }
        c.add(a);
    }

    /**
     * The most recently used idle connection that is usable; for a request that must not run twice, one whose
     * next answer can only be its own. Null if there is none.
     */
    private NodeConnection takeIdle(boolean repeatable) {
        long now = pools.proxy.now();
        while (!idle.isEmpty() && now - idle.peekFirst().idleSinceUs >= pools.idleTimeoutUs) {
            idle.peekFirst().close(); // the event loop was late to run its timer
        }
        for (Iterator<NodeConnection> newest = idle.descendingIterator(); newest.hasNext(); ) {
            NodeConnection c = newest.next();
            if (c.usable() && (repeatable || c.nextAnswerUnambiguous(now))) {
                newest.remove();
                stopTimer(c);
                pools.countReused();
                return c;
            }
        }
        return null;
    }

    /** Whether new attempts may start on this connection: the node takes them and has not moved. */
    boolean acceptsAttempts(NodeConnection c) {
        return !excluded && address.equals(c.address);
    }

    /**
     * The usable connection with the fewest attempts, to share it. Only for when no descriptor is left: on a
     * shared connection a quick answer waits behind a slow one.
     */
    private NodeConnection leastLoaded() {
        NodeConnection best = null;
        if (pools.maxStreams > 1) {
            for (NodeConnection c : connections) {
                if (c.usable()
                        && c.load() < pools.maxStreams
                        && (best == null || c.load() < best.load())) {
                    best = c;
                }
            }
        }
        return best;
    }

    void onOpened(NodeConnection c) {
        connections.add(c);
    }

    void onIdle(NodeConnection c) {
        if (!acceptsAttempts(c)) {
            c.close();
            return;
        }
        c.idleSinceUs = pools.proxy.now();
        idle.addLast(c);
        scheduleIdleClose(c);
    }

    /** Closes the connection before the node does: a request written just then would end as a reset. */
    private void scheduleIdleClose(NodeConnection c) {
        long remainingUs = c.idleSinceUs + pools.idleTimeoutUs - pools.proxy.now();
        idleTimers.put(c, pools.schedule(Math.max(0, remainingUs), c::close));
    }

    /** Applies new settings to the connections that are idle already. */
    void onSettingsChanged() {
        for (NodeConnection c : idle) {
            stopTimer(c);
            scheduleIdleClose(c);
        }
    }

    private void stopTimer(NodeConnection c) {
        Future<?> timer = idleTimers.remove(c);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    void onClosed(NodeConnection c) {
        if (connections.remove(c)) {
            idle.remove(c);
            stopTimer(c);
            pools.connectionClosed();
        }
    }

    void exclude() {
        excluded = true;
        stopNewAttempts();
    }

    /** Started attempts go on; those that wait for a connection go back to the router at once. */
    private void stopNewAttempts() {
        closeIdle();
        for (NodeConnection c : List.copyOf(connections)) {
            if (!acceptsAttempts(c)) {
                c.returnUnstarted();
            }
        }
    }

    void include(InetSocketAddress listedAddress) {
        excluded = false;
        if (!address.equals(listedAddress)) {
            address = listedAddress;
            stopNewAttempts();
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
