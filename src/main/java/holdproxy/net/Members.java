package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The cache nodes that there are, by the lists, and those of them that operators have left out: what the
 * module and the connections are told of either. On the request loop.
 */
final class Members {
    private final Proxy proxy;
    private final NodePools pools;
    private final Discovery discovery;
    private final Log log;

    /** Done with the first list that discovery has given. */
    private final Promise<Void> first;

    /** Done with the first list, or once a call has found that discovery cannot be reached. */
    private final Promise<Void> firstOrUnreachable;

    private final Set<Integer> listed = new HashSet<>();

    /** By their names in the list, which they may have left. */
    private final Set<String> leftOut = new HashSet<>();

    Members(Proxy proxy, NodePools pools, Discovery discovery, Log log, EventLoop loop) {
        first = loop.newPromise();
        firstOrUnreachable = loop.newPromise();
        this.proxy = proxy;
        this.pools = pools;
        this.discovery = discovery;
        this.log = log;
    }

    /** A list has come, or a call for one has failed. */
    void told(Router.ListKind kind, List<Discovery.Entry> entries) {
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
        proxy.events.list(
                () -> proxy.router.onNodes(proxy.now(), kind, nodes, nodes.length, proxy));
        for (Router.Node n : nodes) {
            if (n.state != Router.NodeState.READY) {
                left(n.id, n.state == Router.NodeState.GONE);
            }
        }
        if (kind == Router.ListKind.FULL || kind == Router.ListKind.CACHED) {
            for (Integer id : List.copyOf(listed)) {
                if (!named.contains(id)) {
                    left(id, true);
                }
            }
        }
        proxy.figures().poolSize.set(listed.size());
        if (kind == Router.ListKind.FULL || kind == Router.ListKind.DELTA) {
            first.trySuccess(null);
            firstOrUnreachable.trySuccess(null);
        }
    }

    /** On any thread. */
    Future<Void> first() {
        return first;
    }

    /** On any thread. */
    Future<Void> firstOrUnreachable() {
        return firstOrUnreachable;
    }

    /** A call to discovery got no connection: what it has cannot be told for now. */
    void discoveryUnreachable() {
        firstOrUnreachable.trySuccess(null);
    }

    private void left(int id, boolean gone) {
        pools.leave(id, gone);
        if (gone && listed.remove(id)) {
            discovery.forget(id, leftOut);
        }
    }

    /** Whether operators may name this node: it is in the list, or out already and to be used again. */
    boolean knows(String node, boolean out) {
        return listed.contains(discovery.known(node)) || !out && leftOut.contains(node);
    }

    /** Leaves a node out, or uses it again as one that was started at {@code atUs}, when the call came. */
    void leaveOut(String node, boolean out, long atUs) {
        if (out ? !leftOut.add(node) : !leftOut.remove(node)) {
            return; // two calls out need one call back
        }
        int id = discovery.number(node);
        log.line("node " + node + (out ? " is left out by operators" : " is used again"));
        proxy.events.add(() -> proxy.router.onLeftOut(proxy.now(), id, out, atUs));
        pools.leaveOut(id, out);
        if (!out && !listed.contains(id)) {
            discovery.forget(id, leftOut);
        }
    }

    /** What a process before this one was told. */
    void restore(String node, boolean out, long atUs) {
        if (!out) {
            leftOut.add(node); // as it was until then: the return counts
        }
        leaveOut(node, out, atUs);
    }

    /** What only the module knows of the figures. */
    void refresh() {
        proxy.figures().poolEjected.set(proxy.router.avoided(proxy.now()));
    }
}
