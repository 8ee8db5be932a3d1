package holdproxy.policy;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The node list as last received, without nodes that are gone and have no attempt outstanding; and flat
 * arrays of those that accept requests. {@link TrackedNode#acceptsNew} decides which do; this class only
 * keeps the lists.
 */
final class NodeTable {
    private final LongMap<TrackedNode> byId = new LongMap<>();
    private final boolean cacheAside;
    private final int originKind;

    /** Nodes that operators have left out, whether listed or not. */
    private final Set<Integer> leftOut = new HashSet<>();

    private TrackedNode[] knownNodes = new TrackedNode[16];
    private int nodeCount;
    TrackedNode[] readyNodes = new TrackedNode[0];
    long[] readySalts = new long[0];
    double[] readyInverseWeights = new double[0];
    int readyCount;
    TrackedNode[] origins = new TrackedNode[0];

    NodeTable(Router.Settings settings) {
        cacheAside = settings.cacheAside;
        originKind = settings.originKind;
    }

    boolean isOrigin(TrackedNode t) {
        return cacheAside && t.kind == originKind;
    }

    void apply(Router.ListKind kind, Router.Node[] nodes, int count) {
        if (kind != Router.ListKind.DELTA) {
            for (int i = 0; i < nodeCount; i++) {
                knownNodes[i].state = Router.NodeState.GONE; // unless the full list has it, below
            }
        }
        for (int i = 0; i < count; i++) {
            update(nodes[i]);
        }
        removeGone();
        rebuildArrays();
    }

    private void update(Router.Node n) {
        long id = n.id & 0xffffffffL;
        TrackedNode t = byId.get(id);
        if (t == null) {
            t = new TrackedNode(n.id);
            t.leftOut = leftOut.contains(n.id);
            byId.put(id, t);
            if (nodeCount == knownNodes.length) {
                knownNodes = Arrays.copyOf(knownNodes, 2 * nodeCount);
            }
            knownNodes[nodeCount++] = t;
        }
        if (n.startedUs != t.startedUs) {
            t.markUp();
            t.passOver.set(0, 0); // a new process: the old one's failures no longer count
        }
        t.cell = n.cell;
        t.zone = n.zone;
        t.kind = n.kind;
        t.weight = n.weight > 0 ? n.weight : 1;
        t.state = n.state;
        t.startedUs = n.startedUs;
    }

    /** Applies an operator's command, which holds whatever the lists say until it is revoked. */
    void setLeftOut(int id, boolean out, long at) {
        TrackedNode t = byId.get(id & 0xffffffffL);
        if (out) {
            leftOut.add(id);
        } else {
            leftOut.remove(id);
            if (t != null) {
                t.putBack(at);
            }
        }
        if (t != null) {
            t.leftOut = out;
        }
        rebuildArrays();
    }

    /** The number of known nodes that match. */
    int countMatching(Predicate<TrackedNode> condition) {
        int count = 0;
        for (int i = 0; i < nodeCount; i++) {
            count += condition.test(knownNodes[i]) ? 1 : 0;
        }
        return count;
    }

    int nodeCount() {
        return nodeCount;
    }

    /** Removes nodes that are gone with nothing in flight: memory stays bounded over months of churn. */
    private void removeGone() {
        int kept = 0;
        for (int i = 0; i < nodeCount; i++) {
            TrackedNode t = knownNodes[i];
            if (t.state == Router.NodeState.GONE && t.inFlight == 0) {
                byId.remove(t.id & 0xffffffffL);
            } else {
                knownNodes[kept++] = t;
            }
        }
        Arrays.fill(knownNodes, kept, nodeCount, null);
        nodeCount = kept;
    }

    private void rebuildArrays() {
        readyNodes = new TrackedNode[nodeCount];
        readySalts = new long[nodeCount];
        readyInverseWeights = new double[nodeCount];
        readyCount = 0;
        TrackedNode[] foundOrigins = new TrackedNode[nodeCount];
        int originCount = 0;
        for (int i = 0; i < nodeCount; i++) {
            TrackedNode t = knownNodes[i];
            if (!t.acceptsNew()) {
                continue;
            }
            if (isOrigin(t)) {
                foundOrigins[originCount++] = t;
                continue;
            }
            readyNodes[readyCount] = t;
            readySalts[readyCount] = SplitMix64.mix(t.id);
            readyInverseWeights[readyCount++] = 1 / t.weight;
        }
        origins = Arrays.copyOf(foundOrigins, originCount);
    }
}
