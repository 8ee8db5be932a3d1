package holdproxy.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Seeded random sequences of legal but difficult events: reordered and late outcomes, nodes that drain,
 * leave and return, failing lists, clients that disconnect, restarts, all effect classes. {@link Proxy}
 * acts as the caller and asserts the rules that a router alone can keep.
 */
class RandomEventsTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    private record Attempt(long request, int number, int node, long sentAt, long endsAt) {}

    private static final class RequestState {
        Router.Request request;
        Router.RequestClass type;
        List<Attempt> attempts = new ArrayList<>();
        List<Attempt> mayHaveRun = new ArrayList<>();
        int out;
        boolean concluded;
    }

    private static final class Proxy implements Router.Actions {
        final TestRandom random;
        final Router.Settings settings;
        RoutingPolicy routingPolicy;
        final Map<Long, RequestState> requests = new HashMap<>();
        final List<Attempt> out = new ArrayList<>();
        final List<long[]> timers = new ArrayList<>();
        final Map<Integer, Router.Node> nodes = new HashMap<>();
        long now;
        int answered;
        int sends;
        boolean listOwed;
        long firstSinceRestart;

        Proxy(long seed, boolean aside) {
            random = new TestRandom(seed);
            settings =
                    Fixture.settings(
                            Router.Effect.SAFE,
                            Router.Effect.KEYED,
                            Router.Effect.UNSAFE,
                            Router.Effect.KEYED);
            settings.classes[3].group =
                    random.below(2) == 0 ? Router.Group.ZONE : Router.Group.CELL;
            settings.classes[0].lateWorth = random.below(2) / 2.0;
            settings.secondCopies = random.below(4) > 0;
            settings.subscribesToNodes = random.below(2) > 0;
            settings.cacheAside = aside;
            settings.originKind = aside ? 5 : -1;
            routingPolicy = new RoutingPolicy(settings, seed, 0, this);
            for (int i = 1; i <= 12; i++) {
                Router.Node n = Fixture.node(i);
                n.zone = i % 3;
                n.cell = i % 4;
                n.kind = aside && i == 12 ? 5 : 0;
                nodes.put(i, n);
            }
            list(Router.ListKind.CACHED, nodes.values().toArray(new Router.Node[0]));
        }

        void list(Router.ListKind kind, Router.Node... entries) {
            routingPolicy.onNodes(now, kind, entries, entries.length, this);
        }

        void run(int steps) {
            for (long id = 0; id < steps; id++) {
                now += random.below(20) * MS;
                advance(now);
                if (random.below(8) == 0) {
                    changeList();
                }
                if (random.below(100) == 0) {
                    restart(id);
                }
                arrive(id);
                if (random.below(30) == 0) {
                    RequestState gone =
                            requests.get(
                                    firstSinceRestart
                                            + random.below((int) (id - firstSinceRestart) + 1));
                    gone.concluded = true;
                    routingPolicy.onAborted(now, gone.request.id, this);
                }
            }
            for (int i = 0; i < 200; i++) {
                now += 50 * MS;
                advance(now);
            }
            for (RequestState state : requests.values()) {
                assertTrue(state.concluded, "request " + state.request.id + " was never answered");
            }
        }

        /** The process is killed: its state is lost, and the new process knows only the last list. */
        private void restart(long seed) {
            requests.values().forEach(life -> life.concluded = true);
            out.clear();
            timers.clear();
            listOwed = false;
            firstSinceRestart = seed;
            routingPolicy = new RoutingPolicy(settings, seed, now, this);
            list(Router.ListKind.CACHED, nodes.values().toArray(new Router.Node[0]));
        }

        private void arrive(long id) {
            RequestState state = new RequestState();
            state.request =
                    Fixture.request(id, random.below(40), now + (100 + random.below(900)) * MS);
            state.request.requestClass = random.below(4);
            state.request.tenant = random.below(2);
            state.request.write = state.request.requestClass > 0 && random.below(2) == 0;
            state.type = settings.classes[state.request.requestClass];
            requests.put(id, state);
            routingPolicy.onRequest(now, state.request, this);
        }

        private void changeList() {
            Router.Node n = nodes.get(1 + random.below(12));
            n.state = Router.NodeState.values()[random.below(3)];
            if (n.state == Router.NodeState.READY) {
                n.startedUs = random.below(2) == 0 ? now - random.below(5) * S : n.startedUs;
            }
            if (random.below(4) == 0) {
                list(Router.ListKind.FULL, nodes.values().toArray(new Router.Node[0]));
            } else {
                list(Router.ListKind.DELTA, n);
            }
            if (listOwed) {
                listOwed = false;
                list(Router.ListKind.FAILED);
            }
        }

        /**
         * Ends due attempts in random order, then fires timers; outcomes of concluded requests are
         * delivered too.
         */
        private void advance(long until) {
            for (int guard = 0; guard < 10_000; guard++) {
                List<Attempt> due = out.stream().filter(a -> a.endsAt <= until).toList();
                if (due.isEmpty()) {
                    break;
                }
                end(due.get(random.below(due.size())));
            }
            List<long[]> fire = timers.stream().filter(t -> t[0] <= until).toList();
            timers.removeAll(fire);
            fire.forEach(t -> routingPolicy.onTimer(until, t[1], this));
        }

        private void end(Attempt a) {
            out.remove(a);
            RequestState state = requests.get(a.request);
            state.out--;
            boolean timedOut = a.endsAt >= state.request.dueUs;
            Router.Outcome o =
                    timedOut
                            ? Router.Outcome.TIMEOUT
                            : random.below(3) > 0
                                    ? Router.Outcome.OK
                                    : Router.Outcome.values()[random.below(9)];
            if (o.neverRan) {
                state.mayHaveRun.remove(a);
            }
            state.concluded |= o == Router.Outcome.OK;
            Router.CacheNote note = Router.CacheNote.values()[random.below(4)];
            routingPolicy.onOutcome(
                    now,
                    a.request,
                    a.number,
                    o,
                    now - a.sentAt,
                    state.concluded,
                    note,
                    new Router.Report(),
                    this);
            if (timedOut && state.out == 0) {
                assertTrue(state.concluded, "no answer by the due time of request " + a.request);
            }
        }

        @Override
        public void send(long request, int node, long timeoutUs) {
            RequestState state = requests.get(request);
            sends++;
            assertTrue(
                    request >= firstSinceRestart, "no action for requests from before a restart");
            assertTrue(!state.concluded, "nothing is sent after the final answer");
            assertTrue(now < state.request.dueUs, "nothing is sent after the due time");
            assertEquals(
                    Router.NodeState.READY,
                    nodes.get(node).state,
                    "nothing is sent to nodes that drain or are gone");
            assertTrue(
                    state.attempts.size() < settings.maxAttempts, "at most maxAttempts attempts");
            assertTrue(state.out == 0 || settings.secondCopies, "second copies only where allowed");
            if (settings.cacheAside && nodes.get(node).kind != 5) {
                assertTrue(!state.request.write, "cache-aside writes go to the origin");
            }
            if (!state.mayHaveRun.isEmpty() && state.type.effect != Router.Effect.SAFE) {
                assertEquals(
                        Router.Effect.KEYED,
                        state.type.effect,
                        "an unsafe request that may have run is not resent");
                Attempt first = state.mayHaveRun.get(0);
                assertTrue(
                        now - first.sentAt < state.type.repeatWindowUs,
                        "a resend within the repeat window");
                Router.Node ran = nodes.get(first.node);
                Router.Node next = nodes.get(node);
                assertTrue(
                        state.type.group == Router.Group.ALL
                                || state.type.group == Router.Group.ZONE && ran.zone == next.zone
                                || state.type.group == Router.Group.CELL && ran.cell == next.cell,
                        "a resend within the group");
            }
            long limit =
                    timeoutUs > 0
                            ? Math.min(now + timeoutUs, state.request.dueUs)
                            : state.request.dueUs;
            long endsAt =
                    random.below(12) == 0 ? limit : Math.min(limit, now + random.below(300) * MS);
            Attempt a = new Attempt(request, state.attempts.size(), node, now, endsAt);
            state.attempts.add(a);
            state.mayHaveRun.add(a);
            state.out++;
            out.add(a);
        }

        private void conclude(long request) {
            RequestState state = requests.get(request);
            assertTrue(!state.concluded, "only one final answer");
            assertTrue(
                    now <= state.request.dueUs + 70 * MS,
                    "answered in time, apart from the test's own time steps");
            state.concluded = true;
            answered++;
        }

        @Override
        public void refuse(long request, long retryAfterUs) {
            RequestState state = requests.get(request);
            assertTrue(
                    state.mayHaveRun.isEmpty()
                            || state.type.effect == Router.Effect.SAFE
                            || state.type.effect == Router.Effect.KEYED
                                    && state.type.group == Router.Group.ALL,
                    "a refusal promises that trying again is harmless");
            assertTrue(retryAfterUs <= settings.maxRetryAfterUs);
            conclude(request);
        }

        @Override
        public void fail(long request) {
            conclude(request);
        }

        @Override
        public void cancel(long request, int attempt) {
            assertTrue(
                    attempt < requests.get(request).attempts.size(),
                    "only attempts that were made can be cancelled");
        }

        @Override
        public void timer(long delayUs, long label) {
            assertTrue(delayUs >= 0);
            timers.add(new long[] {now + delayUs, label});
        }

        @Override
        public void probe(int node) {
            throw new AssertionError("the policy sends no probes");
        }

        @Override
        public void closeIdle(int node) {
            assertTrue(nodes.containsKey(node));
        }

        @Override
        public void subscribe() {
            listOwed = true;
        }

        @Override
        public void fetchNodes() {
            throw new AssertionError("the policy fetches no list");
        }

        @Override
        public void sendMessage(int router, byte[] data) {
            throw new AssertionError("the policy sends no messages");
        }

        @Override
        public void log(String line) {
            assertTrue(!line.isBlank());
        }
    }

    /** Random numbers for the test, separate from those of the policy. */
    private static final class TestRandom {
        private long state;

        TestRandom(long seed) {
            state = seed * 0x632be59bd9b4e019L + 1;
        }

        int below(int n) {
            state += 0x9e3779b97f4a7c15L;
            long z = (state ^ state >>> 30) * 0xbf58476d1ce4e5b9L;
            return (int) Long.remainderUnsigned(z ^ z >>> 27, n);
        }
    }

    @Test
    void theRulesHoldWhereNodesFetchForThemselves() {
        runAll(false);
    }

    @Test
    void theRulesHoldInAsideMode() {
        runAll(true);
    }

    private static void runAll(boolean aside) {
        int answered = 0;
        int sends = 0;
        for (long seed = 1; seed <= 60; seed++) {
            Proxy proxy = new Proxy(seed, aside);
            proxy.run(300);
            answered += proxy.answered;
            sends += proxy.sends;
        }
        assertTrue(
                answered > 1000 && sends > 3000,
                "too few answers or attempts for the rules to be exercised: "
                        + answered
                        + ", "
                        + sends);
    }
}
