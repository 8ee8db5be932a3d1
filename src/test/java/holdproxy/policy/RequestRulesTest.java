package holdproxy.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The rules for resending, refusing, due times and node states, for each effect class. */
class RequestRulesTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private final Fixture out = new Fixture();

    private RoutingPolicy policy(Router.Effect effect) {
        return out.choice(Fixture.settings(effect), 1, Fixture.nodes(6));
    }

    /** Fills the budget for second copies with successful requests, all at time 0. */
    private RoutingPolicy withFullBudget(RoutingPolicy router) {
        for (long id = 1000; id < 1100; id++) {
            router.onRequest(0, Fixture.request(id, id, 600 * MS), out);
            out.outcome(router, 0, id, 0, Router.Outcome.OK);
        }
        out.sent.clear();
        out.timers.clear();
        return router;
    }

    private void request(RoutingPolicy router) {
        router.onRequest(0, Fixture.request(1, 42, 600 * MS), out);
        assertEquals(1, out.sent.size());
    }

    @Test
    void safeIsResentAfterAnError() {
        RoutingPolicy router = policy(Router.Effect.SAFE);
        request(router);
        out.outcome(router, MS, 1, 0, Router.Outcome.ERROR);
        assertEquals(2, out.sent.size());
        assertNotEquals(out.sent.get(0).node(), out.sent.get(1).node());
    }

    @Test
    void unsafeIsFailedNotRefusedNorResentOnceItMayHaveRun() {
        for (Router.Outcome o :
                new Router.Outcome[] {
                    Router.Outcome.ERROR,
                    Router.Outcome.TIMEOUT,
                    Router.Outcome.RESET,
                    Router.Outcome.CANCELLED
                }) {
            Fixture f = new Fixture();
            RoutingPolicy router =
                    f.choice(Fixture.settings(Router.Effect.UNSAFE), 1, Fixture.nodes(6));
            router.onRequest(0, Fixture.request(1, 42, 600 * MS), f);
            f.fireTimers(router, 150 * MS);
            f.outcome(router, 200 * MS, 1, 0, o);
            assertEquals(1, f.sent.size(), o + " is not resent");
            assertEquals(1, f.failed.size(), o + " is failed");
            assertEquals(0, f.refused.size(), o + " is not refused");
        }
    }

    @Test
    void unsafeIsResentWhereItNeverRan() {
        RoutingPolicy router = policy(Router.Effect.UNSAFE);
        request(router);
        out.outcome(router, MS, 1, 0, Router.Outcome.OVERLOADED);
        assertEquals(2, out.sent.size());
        out.outcome(router, 2 * MS, 1, 1, Router.Outcome.CONNECT_FAILED);
        assertEquals(
                1,
                out.refused.size() + out.sent.size() - 2,
                "it never ran: resent again or refused");
    }

    @Test
    void keyedIsResentWithinItsWindowOnly() {
        RoutingPolicy router = policy(Router.Effect.KEYED);
        router.onRequest(0, Fixture.request(1, 42, 10 * S), out);
        out.outcome(router, 500 * MS, 1, 0, Router.Outcome.ERROR);
        assertEquals(2, out.sent.size());
        Fixture late = new Fixture();
        RoutingPolicy lateRouter =
                late.choice(Fixture.settings(Router.Effect.KEYED), 1, Fixture.nodes(6));
        lateRouter.onRequest(0, Fixture.request(1, 42, 10 * S), late);
        late.outcome(lateRouter, 2 * S - 5 * MS, 1, 0, Router.Outcome.ERROR);
        assertEquals(1, late.sent.size(), "no resend at the end of the 2 s repeat window");
    }

    @Test
    void aKeyedResendLeavesTimeForAConnectionToComeUpWithinTheWindow() {
        for (boolean slow : new boolean[] {false, true}) {
            Router.Settings s = Fixture.settings(Router.Effect.KEYED);
            s.dialTimeoutUs = slow ? 250 * MS : 0;
            Fixture f = new Fixture();
            RoutingPolicy router = f.choice(s, 1, Fixture.nodes(6));
            router.onRequest(0, Fixture.request(1, 42, 10 * S), f);
            f.outcome(router, 2 * S - 200 * MS, 1, 0, Router.Outcome.ERROR);
            assertEquals(slow ? 1 : 2, f.sent.size());
        }
    }

    @Test
    void keyedByZoneStaysInTheZoneAndIsNeverRefusedOnceItMayHaveRun() {
        Router.Settings s = Fixture.settings(Router.Effect.KEYED);
        s.classes[0].group = Router.Group.ZONE;
        Router.Node[] nodes = Fixture.nodes(12);
        for (Router.Node n : nodes) {
            n.zone = n.id % 3;
        }
        for (int key = 1; key < 40; key++) {
            Fixture f = new Fixture();
            RoutingPolicy router = f.choice(s, key, nodes);
            router.onRequest(0, Fixture.request(1, key, 600 * MS), f);
            f.outcome(router, MS, 1, 0, Router.Outcome.RESET);
            if (f.sent.size() > 1) {
                assertEquals(f.sent.get(0).node() % 3, f.sent.get(1).node() % 3);
                f.outcome(router, 2 * MS, 1, 1, Router.Outcome.RESET);
            }
            assertEquals(0, f.refused.size());
            assertEquals(1, f.failed.size());
        }
    }

    @Test
    void everyRequestIsAnsweredAfterItsLastTimeOut() {
        for (Router.Effect effect : Router.Effect.values()) {
            Fixture f = new Fixture();
            RoutingPolicy router = f.choice(Fixture.settings(effect), 1, Fixture.nodes(6));
            router.onRequest(0, Fixture.request(1, 42, 600 * MS), f);
            f.outcome(router, 600 * MS, 1, 0, Router.Outcome.TIMEOUT);
            assertEquals(1, f.refused.size() + f.failed.size(), effect + " gets one final answer");
            assertEquals(1, f.sent.size(), effect + " is not sent at its due time");
        }
    }

    @Test
    void theDueTimeLimitsARequestNotTheClassDeadline() {
        RoutingPolicy router = withFullBudget(policy(Router.Effect.SAFE));
        router.onRequest(0, Fixture.request(1, 42, 100 * MS), out);
        assertEquals(0, out.sent.get(0).timeoutUs(), "time-out: until the request is due");
        out.fireTimers(router, 100 * MS);
        assertEquals(1, out.sent.size(), "no second copy at or after the due time");
    }

    @Test
    void whereLateAnswersEarnNothingTheAttemptEndsBeforeTheAim() {
        Router.Settings s = Fixture.settings(Router.Effect.SAFE);
        s.classes[0].lateWorth = 0;
        RoutingPolicy router = out.choice(s, 1, Fixture.nodes(6));
        router.onRequest(0, Fixture.request(1, 42, 600 * MS), out);
        assertEquals(290 * MS, out.sent.get(0).timeoutUs());
    }

    @Test
    void nothingIsSentAfterTheClientDisconnects() {
        RoutingPolicy router = withFullBudget(policy(Router.Effect.SAFE));
        request(router);
        router.onAborted(MS, 1, out);
        assertEquals("1/0", out.cancelled.get(0));
        out.fireTimers(router, 100 * MS);
        out.outcome(router, 200 * MS, 1, 0, Router.Outcome.CANCELLED);
        out.outcome(router, 200 * MS, 1, 0, Router.Outcome.ERROR);
        assertEquals(1, out.sent.size());
        assertEquals(0, out.refused.size() + out.failed.size());
    }

    @Test
    void theFirstAnswerCancelsTheSecondCopy() {
        RoutingPolicy router = withFullBudget(policy(Router.Effect.SAFE));
        request(router);
        out.fireTimers(router, 150 * MS);
        assertEquals(2, out.sent.size());
        out.outcome(router, 160 * MS, 1, 1, Router.Outcome.OK);
        assertEquals("1/0", out.cancelled.get(0));
    }

    @Test
    void noSecondCopyWhereNoneIsAllowed() {
        Router.Settings s = Fixture.settings(Router.Effect.SAFE);
        s.secondCopies = false;
        RoutingPolicy router = withFullBudget(out.choice(s, 1, Fixture.nodes(6)));
        request(router);
        out.fireTimers(router, 150 * MS);
        assertEquals(1, out.sent.size());
    }

    @Test
    void nothingIsSentAfterAStreamHasBegun() {
        RoutingPolicy router = withFullBudget(policy(Router.Effect.SAFE));
        request(router);
        router.onStreaming(MS, 1, 0, out);
        out.fireTimers(router, 150 * MS);
        assertEquals(1, out.sent.size());
        router.onOutcome(
                900 * MS,
                1,
                0,
                Router.Outcome.RESET,
                900 * MS,
                true,
                Router.CacheNote.NONE,
                new Router.Report(),
                out);
        assertEquals(0, out.refused.size() + out.failed.size());
    }

    @Test
    void drainingAndGoneNodesGetNothingNew() {
        RoutingPolicy router = policy(Router.Effect.SAFE);
        Router.Node[] changes = {Fixture.node(1), Fixture.node(2)};
        changes[0].state = Router.NodeState.DRAINING;
        changes[1].state = Router.NodeState.GONE;
        router.onNodes(0, Router.ListKind.DELTA, changes, 2, out);
        for (int i = 0; i < 200; i++) {
            router.onRequest(i, Fixture.request(i, 1 + i, S), out);
            assertTrue(out.lastNode() > 2);
        }
        router.onNodes(0, Router.ListKind.FULL, new Router.Node[] {Fixture.node(6)}, 1, out);
        router.onRequest(S, Fixture.request(900, 9, 2 * S), out);
        assertEquals(6, out.lastNode(), "nodes absent from a full list are gone");
    }

    @Test
    void aColdNodeGetsAGrowingShareOfKeysThatAllRoutersAgreeOn() {
        Router.Node[] nodes = Fixture.nodes(4);
        nodes[0].startedUs = 0;
        int[] part = new int[3];
        for (int key = 1; key <= 400; key++) {
            Boolean first = null;
            for (int step = 0; step < 3; step++) {
                for (long seed = 1; seed < 3; seed++) {
                    Fixture f = new Fixture();
                    RoutingPolicy router =
                            f.choice(Fixture.settings(Router.Effect.SAFE), seed, nodes);
                    router.onRequest(step * 5 * S, Fixture.request(1, key, 20 * S), f);
                    boolean there = f.lastNode() == 1;
                    part[step] += there && seed == 1 ? 1 : 0;
                    if (seed == 1) {
                        first = there;
                    } else {
                        assertEquals(first, there, "all routers agree without communication");
                    }
                }
            }
        }
        assertTrue(
                part[0] < 30 && part[0] > 0 && part[1] > part[0] && part[2] > part[1],
                part[0] + ", " + part[1] + ", " + part[2] + " of 400 keys, 100 expected when warm");
    }

    private RoutingPolicy aside(Router.Effect effect) {
        Router.Settings s = Fixture.settings(effect);
        s.cacheAside = true;
        s.originKind = 9;
        Router.Node[] nodes = Fixture.nodes(7);
        nodes[6].kind = 9;
        return out.choice(s, 1, nodes);
    }

    @Test
    void inAsideModeMissesGoOnToTheOriginAndWritesGoThereDirectly() {
        RoutingPolicy router = aside(Router.Effect.SAFE);
        request(router);
        assertTrue(out.lastNode() < 7, "reads go to a cache node first");
        router.onOutcome(
                MS,
                1,
                0,
                Router.Outcome.MISS,
                MS,
                false,
                Router.CacheNote.MISS,
                new Router.Report(),
                out);
        assertEquals(7, out.lastNode());
        Router.Request w = Fixture.request(2, 42, S);
        w.write = true;
        router.onRequest(MS, w, out);
        assertEquals(7, out.lastNode());
    }

    /** Writes alone kept a slow origin overloaded, and nothing it did was in time. */
    @Test
    void writesToAFailingOriginAreRefusedButLaterThanReads() {
        Router.Settings s = Fixture.settings(Router.Effect.SAFE, Router.Effect.KEYED);
        s.cacheAside = true;
        s.originKind = 9;
        s.classes[1].worth = 4;
        s.tenants = new Router.Tenant[200];
        java.util.Arrays.setAll(s.tenants, i -> new Router.Tenant());
        Router.Node[] nodes = Fixture.nodes(7);
        nodes[6].kind = 9;
        int[] refused = new int[2];
        for (int seed = 1; seed <= 40; seed++) {
            Fixture f = new Fixture();
            RoutingPolicy router = f.choice(s, seed, nodes);
            for (int i = 0; i < 3; i++) {
                Router.Request w = Fixture.request(i, 1 + i, S);
                w.requestClass = 1;
                w.write = true;
                w.tenant = i;
                router.onRequest(i * MS, w, f);
                f.outcome(router, i * MS, i, 0, Router.Outcome.TIMEOUT);
            }
            for (int kind = 0; kind < 2; kind++) {
                for (int i = 0; i < 10; i++) {
                    int id = 100 + 10 * kind + i;
                    Router.Request q = Fixture.request(id, id, 4 * S);
                    q.requestClass = kind;
                    q.write = kind == 1;
                    q.tenant = id;
                    int before = f.refused.size();
                    router.onRequest(2 * S, q, f);
                    if (kind == 0 && f.refused.size() == before) {
                        router.onOutcome(
                                2 * S,
                                id,
                                0,
                                Router.Outcome.MISS,
                                MS,
                                false,
                                Router.CacheNote.MISS,
                                new Router.Report(),
                                f);
                    }
                    refused[kind] += f.refused.size() - before;
                }
            }
        }
        assertTrue(
                refused[1] > 20 && refused[1] < refused[0],
                refused[0] + " reads, " + refused[1] + " writes");
    }

    /**
     * After an attempt that may have run, a miss at another node must not lift the restriction to the
     * group.
     */
    @Test
    void aMissedKeyedReadThatMayHaveRunStaysInItsGroup() {
        Router.Settings s = Fixture.settings(Router.Effect.KEYED);
        s.cacheAside = true;
        s.originKind = 9;
        s.classes[0].group = Router.Group.ZONE;
        Router.Node[] nodes = Fixture.nodes(7);
        nodes[6].kind = 9;
        nodes[6].zone = 1;
        RoutingPolicy router = out.choice(s, 1, nodes);
        request(router);
        out.outcome(router, MS, 1, 0, Router.Outcome.ERROR);
        assertEquals(2, out.sent.size(), "resent within its zone");
        router.onOutcome(
                2 * MS,
                1,
                1,
                Router.Outcome.MISS,
                MS,
                false,
                Router.CacheNote.MISS,
                new Router.Report(),
                out);
        assertEquals(2, out.sent.size(), "not sent to the origin in another zone");
        assertEquals(1, out.failed.size());
    }

    @Test
    void missesAreRefusedWhileTheOriginFails() {
        RoutingPolicy router = aside(Router.Effect.SAFE);
        int reached = 0;
        for (int i = 0; i < 60; i++) {
            Router.Request q = Fixture.request(i, 100 + i, S);
            q.tenant = i;
            router.onRequest(i * MS, q, out);
            if (out.sent.isEmpty() || out.sent.get(out.sent.size() - 1).request() != i) {
                continue; // refused by admission control
            }
            router.onOutcome(
                    i * MS,
                    i,
                    0,
                    Router.Outcome.MISS,
                    MS,
                    false,
                    Router.CacheNote.MISS,
                    new Router.Report(),
                    out);
            if (out.lastNode() == 7 && out.sent.get(out.sent.size() - 1).request() == i) {
                reached++;
                out.outcome(router, i * MS, i, 1, Router.Outcome.OVERLOADED);
            }
        }
        assertTrue(
                reached < 20,
                "the origin's bucket refuses most misses; sent to the origin: " + reached);
    }
}
