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

    /** Its node takes nothing new: a connection that comes back from its last answer would only be held. */
    private boolean left;

    private final List<NodeConnection> all = new ArrayList<>();

    /** Newest last: the newest is used first, so that what is not needed grows old and is closed. */
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
            pools.log.line("no descriptor left for a connection to node " + name);
            pools.proxy.ended(a, a.broken(), null);
            return;
        }
        c.add(a);
    }

    /** The newest that still may be used; where the request must not run twice, one that is beyond doubt. */
    private NodeConnection idle(boolean repeatable) {
        long now = pools.proxy.now();
        while (!idle.isEmpty() && now - idle.peekFirst().idleSinceUs >= pools.idleUs) {
            idle.peekFirst().close(); // its timer is late, as this loop was
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

    /** Whether something new may be begun on this connection: to this node, where it is now. */
    boolean takes(NodeConnection c) {
        return !left && address.equals(c.address);
    }

    /** Only for want of a descriptor: a quick answer would wait behind the slow one that is due before it. */
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

    /** The node closes it at its own time; a request written then would end as a reset. */
    private void closeWhenOld(NodeConnection c) {
        long left = c.idleSinceUs + pools.idleUs - pools.proxy.now();
        idleTimers.put(c, pools.after(Math.max(0, left), c::close));
    }

    /** Other settings: what idles already goes by them too. */
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

    /** What is begun goes on; what waits for a connection goes back to the module at once. */
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

    /** Closes the connection that has been idle longest; false where none is. */
    boolean closeOldest() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.peekFirst().close();
        return true;
    }
}
