package holdproxy.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Admission control in a closed loop: what the policy refuses, sends and learns at a steady request rate
 * when attempts fail in a given way. The expected properties are those of docs/MECHANISM.md.
 */
class AdmissionClosedLoopTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;
    private static final int NODES = 8;

    /** How an attempt at a node ends: a time-out, or an answer after some time. */
    interface NodeBehaviour {
        /** Microseconds until the answer; negative: no answer; 0: rejected at once as overloaded. */
        long answerUs(int node, long now, SplitMix64 random);
    }

    /** Sends requests at even intervals; the world determines how each attempt ends. */
    private static final class ClosedLoop {
        private record Due(
                long at, long order, long id, int attempt, Router.Outcome outcome, long latency) {}

        private final Fixture out = new Fixture();
        private final RoutingPolicy router;
        private final SplitMix64 random;
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final int[] attemptsOf = new int[1 << 20];
        private final double perSecond;
        private long next;
        private long now;
        private int scheduled;

        ClosedLoop(double perSecond, long seed) {
            this.perSecond = perSecond;
            Router.Settings s = Fixture.settings(Router.Effect.SAFE);
            s.classes[0].lateWorth = 0;
            router = out.choice(s, seed, Fixture.nodes(NODES));
            random = new SplitMix64(seed + 1);
        }

        /**
         * Runs for {@code us}; returns the share of requests refused before any attempt during the last
         * {@code lastUs}.
         */
        double run(long us, long lastUs, NodeBehaviour behaviour) {
            long end = now + us;
            int offered = 0;
            int refused = 0;
            for (long at = now; at < end; at = now + (long) (1e6 / perSecond)) {
                deliver(at, behaviour);
                now = at;
                long id = next++;
                int sent = out.sent.size();
                router.onRequest(
                        now, Fixture.request(id, 1 + random.nextLong() % 500, now + 600 * MS), out);
                if (end - now <= lastUs) {
                    offered++;
                    refused += out.sent.size() == sent ? 1 : 0;
                }
                scheduleOutcomes(behaviour);
            }
            return (double) refused / offered;
        }

        private void deliver(long until, NodeBehaviour behaviour) {
            while (!due.isEmpty() && due.peek().at <= until) {
                Due d = due.poll();
                now = d.at;
                boolean ok = d.outcome == Router.Outcome.OK;
                router.onOutcome(
                        now,
                        d.id,
                        d.attempt,
                        d.outcome,
                        d.latency,
                        ok,
                        Router.CacheNote.NONE,
                        new Router.Report(),
                        out);
                scheduleOutcomes(behaviour);
            }
        }

        private void scheduleOutcomes(NodeBehaviour behaviour) {
            for (; scheduled < out.sent.size(); scheduled++) {
                Fixture.Sent s = out.sent.get(scheduled);
                long answer = behaviour.answerUs(s.node(), now, random);
                Router.Outcome o =
                        answer < 0
                                ? Router.Outcome.TIMEOUT
                                : answer == 0 ? Router.Outcome.OVERLOADED : Router.Outcome.OK;
                long after = answer < 0 ? s.timeoutUs() : answer;
                due.add(
                        new Due(
                                now + after,
                                scheduled,
                                s.request(),
                                attemptsOf[(int) s.request()]++,
                                o,
                                after));
            }
            out.timers.clear();
            out.actions.clear();
        }
    }

    /** All nodes reject this share of attempts, and answer the others late because of queueing. */
    private static NodeBehaviour overloaded(double share) {
        return (node, now, random) ->
                random.nextUnit() < share ? 0 : (long) ((0.2 + 0.7 * random.nextUnit()) * 300 * MS);
    }

    private static NodeBehaviour quick() {
        return (node, now, random) -> (long) ((0.05 + 0.2 * random.nextUnit()) * 300 * MS);
    }

    private static double steadyStateRefusals(double perSecond, NodeBehaviour behaviour) {
        double sum = 0;
        long last = (long) Math.max(10 * S, 100 / perSecond * S);
        for (int seed = 1; seed <= 5; seed++) {
            sum += new ClosedLoop(perSecond, seed * 7919).run(last + 20 * S, last, behaviour);
        }
        return sum / 5;
    }

    @Test
    void steadyStateRefusalsDependOnTheFailureShareAndNotOnTheRequestRate() {
        StringBuilder table =
                new StringBuilder(
                        "share of failures: refused at 1, 10, 100, 1000 requests per second\n");
        for (double share : new double[] {0.02, 0.05, 0.1, 0.2, 0.4}) {
            double[] refused = new double[4];
            for (int i = 0; i < refused.length; i++) {
                refused[i] = steadyStateRefusals(Math.pow(10, i), overloaded(share));
            }
            table.append(
                    String.format(
                            Locale.ROOT,
                            "%.2f: %.2f %.2f %.2f %.2f%n",
                            share,
                            refused[0],
                            refused[1],
                            refused[2],
                            refused[3]));
            assertEquals(refused[2], refused[1], 0.2, table.toString());
            assertEquals(refused[2], refused[3], 0.2, table.toString());
            // with one trial in several seconds each step is at its limit
            assertTrue(
                    refused[0] > 0.4 * refused[2] && refused[0] < refused[2] + 0.1,
                    table.toString());
        }
        System.out.println(table);
    }

    @ParameterizedTest
    @ValueSource(doubles = {10, 100, 1000})
    void overloadOfAllNodesRefusesWithinSeconds(double perSecond) {
        double refused = 0;
        for (int seed = 1; seed <= 5; seed++) {
            ClosedLoop loop = new ClosedLoop(perSecond, seed * 7919);
            loop.run(20 * S, S, quick());
            refused += loop.run(4 * S, 2 * S, overloaded(0.3)) / 5;
        }
        assertTrue(refused > 0.2, "all nodes reject 30% of attempts, share refused: " + refused);
    }

    /**
     * Seven of eight nodes answer three of four attempts and leave the rest unanswered, with cores idle:
     * silence without queueing must not be taken for overload.
     */
    @ParameterizedTest
    @ValueSource(doubles = {10, 100, 1000})
    void silenceWithoutQueueingCausesNoRefusals(double perSecond) {
        NodeBehaviour lossy =
                (node, now, random) ->
                        node != 1 && random.nextUnit() < 0.25
                                ? -1
                                : (long) ((0.05 + 0.2 * random.nextUnit()) * 300 * MS);
        double refused = steadyStateRefusals(perSecond, lossy);
        assertTrue(refused < 0.05, "share refused although nodes are not busy: " + refused);
    }

    /** One node of eight is unreachable, ten times slower or full, while the others serve. */
    @ParameterizedTest
    @ValueSource(doubles = {10, 100, 1000})
    void failuresOfOneNodeCauseNoRefusals(double perSecond) {
        NodeBehaviour dead =
                (node, now, random) -> node == 3 ? -1 : quick().answerUs(node, now, random);
        NodeBehaviour slow =
                (node, now, random) -> (node == 3 ? 10 : 1) * quick().answerUs(node, now, random);
        NodeBehaviour full =
                (node, now, random) -> node == 3 ? 0 : quick().answerUs(node, now, random);
        assertTrue(
                steadyStateRefusals(perSecond, dead) < 0.03,
                "dead: " + steadyStateRefusals(perSecond, dead));
        assertTrue(
                steadyStateRefusals(perSecond, slow) < 0.03,
                "slow: " + steadyStateRefusals(perSecond, slow));
        assertTrue(
                steadyStateRefusals(perSecond, full) < 0.05,
                "full: " + steadyStateRefusals(perSecond, full));
    }

    /** The load must not move to the one node that has not failed yet, as its queue would overflow next. */
    @Test
    void failuresOfAllNodesButOneDoNotMoveTheLoadToThatOne() {
        ClosedLoop loop = new ClosedLoop(100, 5);
        NodeBehaviour lossy =
                (node, now, random) -> node != 1 && random.nextUnit() < 0.25 ? -1 : 20 * MS;
        loop.run(20 * S, S, lossy);
        long there = loop.out.sent.stream().filter(s -> s.node() == 1).count();
        double share = (double) there / loop.out.sent.size() * NODES;
        assertTrue(share < 2, "multiple of an even share sent to that node: " + share);
    }

    /**
     * Proxies with less traffic notice later: at 10 requests/s a tenant refused four times in five gets
     * only two trials a second.
     */
    @ParameterizedTest
    @ValueSource(doubles = {100, 1000})
    void refusalsEndWithinTwoSecondsOfTheirCause(double perSecond) {
        ClosedLoop loop = new ClosedLoop(perSecond, 3);
        double before = loop.run(20 * S, 5 * S, overloaded(0.4));
        assertTrue(before > 0.5, "share refused while all nodes are overloaded: " + before);
        loop.run(2 * S, S, quick());
        double after = loop.run(5 * S, 5 * S, quick());
        assertTrue(after < 0.02, "share refused from 2 s after the overload: " + after);
    }
}
