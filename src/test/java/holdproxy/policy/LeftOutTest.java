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
    private static final int LEFT_OUT = 3;
    private final Fixture f = new Fixture();
    private long nextId = 1;

    /**
     * Sends a request for each of {@code keys} keys, each answered at once; returns the nodes that served
     * them.
     */
    private Set<Integer> served(RoutingPolicy router, long now, int keys) {
        Set<Integer> nodes = new HashSet<>();
        for (int key = 1; key <= keys; key++) {
            long id = nextId++;
            router.onRequest(now, Fixture.request(id, SplitMix64.mix(key), now + 600 * MS), f);
            nodes.add(f.lastNode());
            f.outcome(router, now, id, 0, Router.Outcome.OK);
        }
        return nodes;
    }

    private RoutingPolicy leftOut() {
        RoutingPolicy router =
                f.choice(Fixture.settings(Router.Effect.SAFE), 1, Fixture.nodes(NODES));
        assertTrue(served(router, 0, 200).contains(LEFT_OUT));
        router.onLeftOut(S, LEFT_OUT, true, S);
        return router;
    }

    @Test
    void nothingGoesThereWhateverTheListsSay() {
        RoutingPolicy router = leftOut();
        assertFalse(served(router, S, 200).contains(LEFT_OUT));
        router.onNodes(2 * S, Router.ListKind.FULL, Fixture.nodes(NODES), NODES, f);
        assertFalse(served(router, 2 * S, 200).contains(LEFT_OUT), "after a full list");
        Router.Node gone = Fixture.node(LEFT_OUT);
        gone.state = Router.NodeState.GONE;
        router.onNodes(3 * S, Router.ListKind.DELTA, new Router.Node[] {gone}, 1, f);
        Router.Node again = Fixture.node(LEFT_OUT);
        again.startedUs = 3 * S;
        router.onNodes(4 * S, Router.ListKind.DELTA, new Router.Node[] {again}, 1, f);
        assertFalse(
                served(router, 4 * S, 200).contains(LEFT_OUT),
                "after it was gone and came back as a new process");
        assertFalse(served(router, 60 * S, 200).contains(LEFT_OUT), "a minute later");
        assertEquals(1, router.avoidedNodes(60 * S));
    }

    @Test
    void neitherRetriesNorSecondCopiesGoThere() {
        RoutingPolicy router = leftOut();
        served(router, S, 100); // fills the budget for second copies
        for (int key = 1; key <= 100; key++) {
            long id = nextId++;
            f.sent.clear();
            f.timers.clear();
            router.onRequest(2 * S, Fixture.request(id, SplitMix64.mix(key), 2 * S + 600 * MS), f);
            f.fireTimers(router, 2 * S + 200 * MS);
            f.outcome(router, 2 * S + 210 * MS, id, 0, Router.Outcome.ERROR);
            assertTrue(f.sent.stream().noneMatch(s -> s.node() == LEFT_OUT));
            for (int a = 1; a < f.sent.size(); a++) {
                f.outcome(router, 2 * S + 220 * MS, id, a, Router.Outcome.OK);
            }
        }
    }

    @Test
    void withAllNodesOutRequestsAreRefusedAtOnce() {
        RoutingPolicy router = leftOut();
        for (int node = 1; node <= NODES; node++) {
            router.onLeftOut(S, node, true, S);
        }
        f.sent.clear();
        router.onRequest(2 * S, Fixture.request(nextId, 42, 3 * S), f);
        assertEquals(0, f.sent.size());
        assertEquals(1, f.refused.size());
        assertEquals(NODES, router.avoidedNodes(2 * S));
    }

    @Test
    void leavingOutTwiceIsUndoneByPuttingBackOnce() {
        RoutingPolicy router = leftOut();
        router.onLeftOut(2 * S, LEFT_OUT, true, 2 * S);
        router.onLeftOut(3 * S, LEFT_OUT, false, 3 * S);
        assertTrue(served(router, 60 * S, 200).contains(LEFT_OUT));
        assertEquals(0, router.avoidedNodes(60 * S));
    }

    @Test
    void onceUsedAgainItWarmsUpAndGetsRequestsAtOnce() {
        RoutingPolicy router = leftOut();
        Router.Settings s = Fixture.settings(Router.Effect.SAFE);
        router.onLeftOut(5 * S, LEFT_OUT, false, 5 * S);
        int cold = count(router, 5 * S);
        int half = count(router, 5 * S + s.coldUs / 2);
        int warm = count(router, 5 * S + s.coldUs);
        assertTrue(cold > 0, "some requests reach it at once");
        assertTrue(cold < 0.6 * warm, cold + " of " + warm);
        assertTrue(half > cold && half < warm, cold + ", " + half + " of " + warm);
    }

    private int count(RoutingPolicy router, long now) {
        f.sent.clear();
        served(router, now, 2000);
        return (int) f.sent.stream().filter(sent -> sent.node() == LEFT_OUT).count();
    }

    @Test
    void whatWasLearntBeforeIsForgotten() {
        RoutingPolicy router =
                f.choice(Fixture.settings(Router.Effect.SAFE), 1, Fixture.nodes(NODES));
        for (int key = 1; key <= 400; key++) {
            long id = nextId++;
            router.onRequest(0, Fixture.request(id, SplitMix64.mix(key), 600 * MS), f);
            boolean bad = f.lastNode() == LEFT_OUT;
            f.outcome(router, MS, id, 0, bad ? Router.Outcome.CONNECT_FAILED : Router.Outcome.OK);
            for (int a = 1;
                    bad
                            && !f.sent.isEmpty()
                            && f.sent.get(f.sent.size() - 1).request() == id
                            && a < 2;
                    a++) {
                f.outcome(router, MS, id, a, Router.Outcome.OK);
            }
        }
        assertEquals(1, router.avoidedNodes(2 * MS));
        router.onLeftOut(3 * MS, LEFT_OUT, true, 3 * MS);
        router.onLeftOut(4 * MS, LEFT_OUT, false, 4 * MS);
        assertEquals(0, router.avoidedNodes(5 * MS));
        assertTrue(served(router, 5 * MS, 2000).contains(LEFT_OUT));
    }
}
