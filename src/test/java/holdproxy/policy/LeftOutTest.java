package holdproxy.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Nodes that operators have left out get no attempts until they are put back, and then warm up like cold
 * nodes.
 */
class LeftOutTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final int NODES = 6;
    private static final int OUT = 3;
    private final Fixture f = new Fixture();
    private long nextId = 1;

    /**
     * Sends a request for each of {@code keys} keys, each answered at once; returns the nodes that served
     * them.
     */
    private Set<Integer> served(Choice p, long now, int keys) {
        Set<Integer> nodes = new HashSet<>();
        for (int key = 1; key <= keys; key++) {
            long id = nextId++;
            p.onRequest(now, Fixture.request(id, Random.mix(key), now + 600 * MS), f);
            nodes.add(f.lastNode());
            f.outcome(p, now, id, 0, Router.Outcome.OK);
        }
        return nodes;
    }

    private Choice leftOut() {
        Choice p = f.choice(Fixture.settings(Router.Effect.SAFE), 1, Fixture.nodes(NODES));
        assertTrue(served(p, 0, 200).contains(OUT));
        p.onLeftOut(S, OUT, true, S);
        return p;
    }

    @Test
    void nothingGoesThereWhateverTheListsSay() {
        Choice p = leftOut();
        assertFalse(served(p, S, 200).contains(OUT));
        p.onNodes(2 * S, Router.ListKind.FULL, Fixture.nodes(NODES), NODES, f);
        assertFalse(served(p, 2 * S, 200).contains(OUT), "after a full list");
        Router.Node gone = Fixture.node(OUT);
        gone.state = Router.NodeState.GONE;
        p.onNodes(3 * S, Router.ListKind.DELTA, new Router.Node[] {gone}, 1, f);
        Router.Node again = Fixture.node(OUT);
        again.startedUs = 3 * S;
        p.onNodes(4 * S, Router.ListKind.DELTA, new Router.Node[] {again}, 1, f);
        assertFalse(
                served(p, 4 * S, 200).contains(OUT),
                "after it was gone and came back as a new process");
        assertFalse(served(p, 60 * S, 200).contains(OUT), "a minute later");
        assertEquals(1, p.avoided(60 * S));
    }

    @Test
    void neitherRetriesNorSecondCopiesGoThere() {
        Choice p = leftOut();
        served(p, S, 100); // fills the budget for second copies
        for (int key = 1; key <= 100; key++) {
            long id = nextId++;
            f.sent.clear();
            f.timers.clear();
            p.onRequest(2 * S, Fixture.request(id, Random.mix(key), 2 * S + 600 * MS), f);
            f.fire(p, 2 * S + 200 * MS);
            f.outcome(p, 2 * S + 210 * MS, id, 0, Router.Outcome.ERROR);
            assertTrue(f.sent.stream().noneMatch(s -> s.node() == OUT));
            for (int a = 1; a < f.sent.size(); a++) {
                f.outcome(p, 2 * S + 220 * MS, id, a, Router.Outcome.OK);
            }
        }
    }

    @Test
    void withAllNodesOutRequestsAreRefusedAtOnce() {
        Choice p = leftOut();
        for (int node = 1; node <= NODES; node++) {
            p.onLeftOut(S, node, true, S);
        }
        f.sent.clear();
        p.onRequest(2 * S, Fixture.request(nextId, 42, 3 * S), f);
        assertEquals(0, f.sent.size());
        assertEquals(1, f.refused.size());
        assertEquals(NODES, p.avoided(2 * S));
    }

    @Test
    void twoCallsOutNeedOneBack() {
        Choice p = leftOut();
        p.onLeftOut(2 * S, OUT, true, 2 * S);
        p.onLeftOut(3 * S, OUT, false, 3 * S);
        assertTrue(served(p, 60 * S, 200).contains(OUT));
        assertEquals(0, p.avoided(60 * S));
    }

    @Test
    void usedAgainItWarmsUpFromTheCallOnAndIsInUseAtOnce() {
        Choice p = leftOut();
        Router.Settings s = Fixture.settings(Router.Effect.SAFE);
        p.onLeftOut(5 * S, OUT, false, 5 * S);
        int cold = count(p, 5 * S);
        int half = count(p, 5 * S + s.coldUs / 2);
        int warm = count(p, 5 * S + s.coldUs);
        assertTrue(cold > 0, "some requests reach it at once");
        assertTrue(cold < 0.6 * warm, cold + " of " + warm);
        assertTrue(half > cold && half < warm, cold + ", " + half + " of " + warm);
    }

    private int count(Choice p, long now) {
        f.sent.clear();
        served(p, now, 2000);
        return (int) f.sent.stream().filter(sent -> sent.node() == OUT).count();
    }

    @Test
    void whatWasLearntBeforeIsForgotten() {
        Choice p = f.choice(Fixture.settings(Router.Effect.SAFE), 1, Fixture.nodes(NODES));
        for (int key = 1; key <= 400; key++) {
            long id = nextId++;
            p.onRequest(0, Fixture.request(id, Random.mix(key), 600 * MS), f);
            boolean bad = f.lastNode() == OUT;
            f.outcome(p, MS, id, 0, bad ? Router.Outcome.CONNECT_FAILED : Router.Outcome.OK);
            for (int a = 1;
                    bad
                            && !f.sent.isEmpty()
                            && f.sent.get(f.sent.size() - 1).request() == id
                            && a < 2;
                    a++) {
                f.outcome(p, MS, id, a, Router.Outcome.OK);
            }
        }
        assertEquals(1, p.avoided(2 * MS));
        p.onLeftOut(3 * MS, OUT, true, 3 * MS);
        p.onLeftOut(4 * MS, OUT, false, 4 * MS);
        assertEquals(0, p.avoided(5 * MS));
        assertTrue(served(p, 5 * MS, 2000).contains(OUT));
    }
}
