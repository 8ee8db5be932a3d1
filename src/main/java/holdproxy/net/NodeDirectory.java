package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks the cache nodes of the lists and those that operators have left out, and passes changes of either on
 * to the router and the connection pools. Confined to the request loop.
 */
final class NodeDirectory {
    private final Proxy proxy;
    private final NodePools pools;
    private final Discovery discovery;
    private final Log log;

    /** Completes with the first list from discovery. */
    private final Promise<Void> firstList;

    /** Completes with the first list from discovery, or once a call cannot connect to it. */
    private final Promise<Void> firstListOrUnreachable;

    private final Set<Integer> listed = new HashSet<>();

    /** The names of the nodes that operators have left out; these may have gone from the list. */
    private final Set<String> leftOut = new HashSet<>();

    NodeDirectory(Proxy proxy, NodePools pools, Discovery discovery, Log log, EventLoop loop) {
        firstList = loop.newPromise();
        firstListOrUnreachable = loop.newPromise();
        this.proxy = proxy;
        this.pools = pools;
        this.discovery = discovery;
        this.log = log;
    }

    /** Handles a list, or the failure of a call for one. */
    void onList(Router.ListKind kind, List<Discovery.Entry> entries) {
        Router.Node[] nodes = new Router.Node[entries.size()];
        Set<Integer> named = new HashSet<>();
        for (int i = 0; i < nodes.length; i++) {
            Discovery.Entry e = entries.get(i);
            nodes[i] = e.node();
            named.add(e.node().id);
            if (e.node().state != Router.NodeState.GONE) {
                pools.put(e.node().id, e.name(), e.address(), leftOut.contains(e.name()));
                listed.add(e.node().id);
            }
        }
        proxy.events.deliverList(
                () -> proxy.router.onNodes(proxy.now(), kind, nodes, nodes.length, proxy));
        for (Router.Node n : nodes) {
            if (n.state != Router.NodeState.READY) {
                nodeLeft(n.id, n.state == Router.NodeState.GONE);
            }
        }
        if (kind == Router.ListKind.FULL || kind == Router.ListKind.CACHED) {
            for (Integer id : List.copyOf(listed)) {
                if (!named.contains(id)) {
                    nodeLeft(id, true);
                }
            }
        }
        proxy.figures().poolSize.set(listed.size());
        if (kind == Router.ListKind.FULL || kind == Router.ListKind.DELTA) {
            firstList.trySuccess(null);
            firstListOrUnreachable.trySuccess(null);
        }
    }

    /** May be called on any thread. */
    Future<Void> firstList() {
        return firstList;
    }

    /** May be called on any thread. */
    Future<Void> firstListOrUnreachable() {
        return firstListOrUnreachable;
    }

    /** A call could not connect to discovery, so that waiting for its list is of no use for now. */
    void onDiscoveryUnreachable() {
        firstListOrUnreachable.trySuccess(null);
    }

    private void nodeLeft(int id, boolean gone) {
        pools.exclude(id, gone);
        if (gone && listed.remove(id)) {
            discovery.forget(id, leftOut);
        }
    }

    /** Whether operators may name this node: it is in the list, or is left out and to be used again. */
    boolean acceptsLeaveOut(String node, boolean out) {
        return listed.contains(discovery.knownNumber(node)) || !out && leftOut.contains(node);
    }

    /** Leaves a node out, or uses it again as if started at {@code atUs}, the time of the operator's call. */
    void leaveOut(String node, boolean out, long atUs) {
        if (out ? !leftOut.add(node) : !leftOut.remove(node)) {
            return; // no change: one return undoes any number of calls
        }
        int id = discovery.numberFor(node);
        log.line("node " + node + (out ? " is left out by operators" : " is used again"));
        proxy.events.add(() -> proxy.router.onLeftOut(proxy.now(), id, out, atUs));
        pools.leaveOut(id, out);
        if (!out && !listed.contains(id)) {
            discovery.forget(id, leftOut);
        }
    }

    /** Applies a change that an earlier process has stored. */
    void restore(String node, boolean out, long atUs) {
        if (!out) {
            leftOut.add(node); // the state before the return, so that the return is applied
        }
        leaveOut(node, out, atUs);
    }

    /** Updates the metrics that only the router knows. */
    void updateFigures() {
        proxy.figures().poolEjected.set(proxy.router.avoidedNodes(proxy.now()));
    }
}
