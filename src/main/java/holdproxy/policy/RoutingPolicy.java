package holdproxy.policy;

import holdproxy.policy.PolicyCounters.Count;
import java.util.Arrays;

// The interface, with its types, events and actions, is in Router.java.

/**
 * The routing policy of holdproxy: admission by stochastic fair BLUE in each proxy, after "FAIR:
 * Allocating Resources Fairly at Scale" (M. Sathe), and node selection among two hashed candidates per
 * key. This class handles attempts, retries and their budget, connections, and calls to discovery. {@link
 * AdmissionControl} admits or refuses requests, {@link NodeSelector} selects nodes. Comments name each
 * departure from FAIR and when it applies.
 */
public final class RoutingPolicy implements Router {
    // About this fraction of all requests goes on to the origin. It only scales the steps of the
    // origin's bucket.
    static final double ORIGIN_PART = 0.1;
    // All proxies share the origin: its bucket is in equilibrium at about a sixth of fetches
    // failing, not at half.
    static final double ORIGIN_WEIGHT = 3;
    // Retries and second copies are paid from a budget that successful attempts earn.
    static final double BUDGET_EARN = 0.1;
    static final double BUDGET_MOST = 10;
    static final double BUDGET_FIRST = 1;
    // A second copy may prove unnecessary and costs its node a cache miss, so it is dearer than a
    // retry.
    static final double COPY_PRICE = 5;
    // Second copies are sent after the estimated round-trip time, within these fractions of the
    // latency target.
    static final double COPY_SOONEST = 0.3;
    static final double COPY_LATEST = 0.6;
    // Discovery: after a failed call the next one follows at a random time within this bound per
    // router, which doubles with each further failure. Its limit leaves room for two further calls
    // of 1 s each before a change that discovery knows counts as delivered, 6 s after discovery
    // became reachable.
    static final double ASK_RETRY_US_PER_ROUTER = 100_000;
    static final double ASK_RETRY_MOST_US = 2_000_000;
    static final double ASK_RETRY_PART = 0.4;
    // After a silent watch: two calls, one of them unanswered, fit into what is left of the 6 s.
    static final double SILENT_SPREAD_US = 500_000;
    static final double SILENT_US_PER_ROUTER = 50_000;
    static final long PUSHED_RETRY_US = 100_000;
    // Pushed lists take effect at once: the pause, the dial (at most half) and the answer together
    // must fit into the drain grace period.
    static final double PUSHED_RETRY_PART = 0.2;
    static final long REPORT_EVERY_US = 20_000_000;
    static final int TIMER_ASK = 0;
    static final int TIMER_COPY = 1;

    /** Counters for operators; no decision depends on them. */
    public final PolicyCounters counters = new PolicyCounters();

    private Settings set;
    private final SplitMix64 random;
    private final RequestRates demand;
    private final AdmissionControl admission;
    private final NodeTable fleet;
    private final NodeSelector selector;
    private final DecayingValue originChance = new DecayingValue(TrackedNode.DECAY_US);
    private final LongMap<OpenRequest> open = new LongMap<>();
    private IdleLimit idleLimit;
    private double leastWorth;
    private double budget = BUDGET_FIRST;
    private double meanUs;
    private double devUs;
    private long reportAt = Long.MIN_VALUE;
    private boolean subscribed;
    private int askFailures;

    public RoutingPolicy(Settings settings, long seed, long nowUs, Actions out) {
        random = new SplitMix64(seed);
        demand = new RequestRates(nowUs);
        admission = new AdmissionControl(demand, random);
        fleet = new NodeTable(settings);
        selector = new NodeSelector(fleet, demand, random, counters);
        admission.scheduleRotation(nowUs);
        onSettings(nowUs, settings);
        if (settings.subscribesToNodes) {
            // the list from before the start may be stale, and changes count for a new process too
            out.timer(0, TIMER_ASK);
        }
    }

    @Override
    public void onSettings(long now, Settings settings) {
        settings.check();
        if (set == null || set.idleCloseUs != settings.idleCloseUs) {
            idleLimit = new IdleLimit(settings.idleCloseUs);
        }
        set = settings;
        leastWorth =
                Math.max(
                        1e-6, Arrays.stream(set.classes).mapToDouble(c -> c.worth).min().orElse(1));
        demand.applySettings(settings);
        selector.settings(settings);
    }

    // ---- node list ----

    @Override
    public void onNodes(long now, ListKind kind, Node[] nodes, int count, Actions out) {
        boolean none = kind == ListKind.FAILED || kind == ListKind.SILENT;
        counters.add(none ? Count.LISTS_FAILED : Count.LISTS);
        if (none) {
            subscribed = false;
            report(now, "discovery call failed", out);
            out.timer((long) askAgainUs(kind), TIMER_ASK);
            return;
        }
        askFailures = 0;
        fleet.apply(kind, nodes, count);
    }

    /**
     * The delay before the next call to discovery. A silent watch is reopened before the changes it
     * misses count as delivered, and the calls are spread over no more than the time left, as all proxies
     * may have seen the silence at once. After a failed call: exponential backoff with full jitter,
     * scaled by the number of routers, since all of them may have failed at once. Pushed lists take
     * effect at once, also those sent when a silent agent returns, and the agent serves this proxy alone,
     * so the delay is short.
     */
    private double askAgainUs(ListKind kind) {
        if (!set.subscribesToNodes) {
            askFailures++;
            double within =
                    set.drainGraceUs > 0 ? PUSHED_RETRY_PART * set.drainGraceUs : PUSHED_RETRY_US;
            return Math.min(PUSHED_RETRY_US, within) * (0.5 + random.nextUnit());
        }
        if (kind == ListKind.SILENT) {
            return random.nextUnit()
                    * Math.min(SILENT_SPREAD_US, SILENT_US_PER_ROUTER * set.routers);
        }
        double retry = ASK_RETRY_US_PER_ROUTER * set.routers * (1L << Math.min(askFailures++, 5));
        double most = Math.min(ASK_RETRY_MOST_US, ASK_RETRY_PART * set.listFreshnessUs);
        return random.nextUnit() * Math.min(retry, most);
    }

    @Override
    public void onLeftOut(long now, int node, boolean out, long at) {
        fleet.setLeftOut(node, out, at);
    }

    /**
     * The number of listed nodes that are avoided: left out by operators, down, or passed over more often
     * than not.
     */
    public int avoidedNodes(long now) {
        return selector.avoided(now);
    }

    // ---- request arrival: admission by the tenant's refusal probability ----

    @Override
    public void onRequest(long now, Request q, Actions out) {
        admission.rotateIfDue(now);
        int tenant = demand.tenantIndex(q.tenant);
        counters.add(q.repeat ? Count.REPEATS : Count.REQUESTS);
        demand.countArrival(tenant, q.repeat, now);
        double chance = admission.refusalProbability(tenant, now);
        if (chance > 0 && random.nextUnit() < chance) {
            counters.add(Count.REFUSED_BY_CHANCE);
            report(now, "refusing requests", out);
            out.refuse(q.id, retryAfter(chance));
            return;
        }
        demand.countAdmission(tenant, now);
        int type = Math.max(0, Math.min(q.requestClass, set.classes.length - 1));
        OpenRequest r = new OpenRequest(q, set.classes[type], tenant, set.maxAttempts, now);
        open.put(r.id, r);
        selector.wanted(r.key, now);
        start(r, now, out);
    }

    /** Logs a status line, at most one every {@link #REPORT_EVERY_US} however many requests are refused. */
    private void report(long now, String what, Actions out) {
        if (now >= reportAt) {
            reportAt = now + REPORT_EVERY_US;
            // concatenated: loading String.format costs a starting proxy a tenth of a second
            out.log(
                    what
                            + ": origin refusal probability "
                            + Math.round(100 * originChance.get(now)) / 100.0
                            + ", "
                            + admission.statusText()
                            + ", consecutive failed discovery calls "
                            + askFailures);
        }
    }

    /** The higher the refusal probability, the longer the advised delay. */
    private long retryAfter(double chance) {
        return set.retryAfter ? (long) (set.maxRetryAfterUs * Math.max(0.2, chance)) : 0;
    }

    // ---- node selection ----

    private void start(OpenRequest r, long now, Actions out) {
        if (set.cacheAside && r.write) {
            sendToOrigin(r, now, out);
        } else {
            send(r, selector.choose(r, now), now, out);
        }
        if (!r.done && set.secondCopies) {
            double latencyTargetUs = r.type.targetUs;
            double wait =
                    Math.max(
                            COPY_SOONEST * latencyTargetUs,
                            Math.min(COPY_LATEST * latencyTargetUs, meanUs + 4 * devUs));
            out.timer((long) wait, r.id << 3 | TIMER_COPY);
        }
    }

    private TrackedNode origin() {
        TrackedNode best = null;
        for (TrackedNode t : fleet.origins) {
            if (best == null || t.inFlight < best.inFlight) {
                best = t;
            }
        }
        return best;
    }

    // ---- attempts ----

    /**
     * When an answer loses its value: at the latency target if late answers earn nothing, else at the due
     * time.
     */
    private long giveUpAt(OpenRequest r) {
        return r.type.lateWorth > 0
                ? r.due
                : Math.min(r.due, r.arrived + r.type.targetUs - 2 * set.tickUs);
    }

    private void send(OpenRequest r, TrackedNode t, long now, Actions out) {
        long left = giveUpAt(r) - now;
        if (t == null || left <= 0 || r.attempts >= r.attemptsMost) {
            if (r.out == 0) {
                counters.add(
                        left <= 0
                                ? Count.REFUSED_WITHOUT_TIME
                                : r.attempts > 0 && budget < 1
                                        ? Count.REFUSED_WITHOUT_BUDGET
                                        : Count.REFUSED_WITHOUT_NODE);
                finish(r, now, out); // else an outstanding attempt may still succeed
            }
            return;
        }
        if (t.idleSince != Long.MIN_VALUE && now - t.idleSince > idleLimit.limitUs(now)) {
            closeIdle(t, out);
        }
        r.idledUs[r.attempts] = t.idleSince != Long.MIN_VALUE ? now - t.idleSince : -1;
        counters.add(r.attempts == 0 ? Count.ATTEMPTS : r.out == 0 ? Count.FURTHER : Count.COPIES);
        r.sent(t, now);
        out.send(r.id, t.id, giveUpAt(r) < r.due ? left : 0);
    }

    /**
     * Updates the state of the connection that an attempt used. Silence on a connection that had been
     * idle (dropped unnoticed), or a node that accepts no new ones (idle ones fill its connection table),
     * shortens the time that any connection may idle. One that would reach the limit before its next use
     * is closed at once, which leaves room for others; where handshakes have a price, only after silence
     * was observed. A node that is down refuses connections too: where the whole fleet pays for each new
     * connection, that is no reason to close those to all other nodes.
     */
    private void released(OpenRequest r, int attempt, Outcome o, long now, Actions out) {
        TrackedNode t = r.node[attempt];
        double limit = idleLimit.limitUs(now);
        if (fleet.isOrigin(t)) {
            return; // shared by all proxies: a handshake costs the most while it is slow
        }
        if (o == Outcome.CONNECT_FAILED) {
            if (set.handshakePrice == 0) {
                idleLimit.connectionRefused(now);
            }
        } else if (o == Outcome.RESET) {
            t.idleSince = Long.MIN_VALUE;
        } else {
            if (o == Outcome.OK) {
                idleLimit.servedAfterIdling(r.idledUs[attempt], limit, now);
            }
            t.idleSince = now;
            boolean freely = set.handshakePrice == 0 || limit < set.idleCloseUs / 2.0;
            // silence says nothing about those that idled no longer than others that still worked
            boolean suspect =
                    o == Outcome.TIMEOUT && idleLimit.idledBeyondSurvived(r.idledUs[attempt], now);
            if (suspect || freely && fleet.readyCount / demand.rate(now) * 1e6 > limit) {
                closeIdle(t, out);
            }
        }
    }

    private void closeIdle(TrackedNode t, Actions out) {
        counters.add(Count.IDLE_CLOSED);
        t.idleSince = Long.MIN_VALUE;
        out.closeIdle(t.id);
    }

    private void sendToOrigin(OpenRequest r, long now, Actions out) {
        double chance = originChance.get(now);
        // the higher a class's worth, the later it is refused: its worth is the exponent
        boolean refused =
                chance > 0 && random.nextUnit() < Math.pow(chance, r.type.worth / leastWorth);
        TrackedNode t = refused ? null : origin();
        // an earlier attempt of a read that missed may have run, which limits the nodes allowed now
        t = t == null || r.mayGoTo(t, set, now) ? t : null;
        r.atOrigin |= t != null;
        send(r, t, now, out);
    }

    /** Retries must not multiply an overload: they are paid from what ordinary requests have earned. */
    private void retry(OpenRequest r, long now, Actions out) {
        boolean toOrigin = set.cacheAside && r.write;
        if (r.out != 0 && budget < COPY_PRICE) {
            counters.add(Count.COPIES_WITHOUT_BUDGET);
        }
        // an attempt that never started cost no node any work: the next one counts as the first
        boolean begun = r.last != Outcome.CONNECT_FAILED && r.last != Outcome.NOT_SENT;
        double price = r.out != 0 ? COPY_PRICE : begun ? 1 : 0;
        boolean may = budget >= price && giveUpAt(r) > now && (r.out == 0 || set.secondCopies);
        TrackedNode t =
                !may || r.attempts >= r.attemptsMost
                        ? null
                        : toOrigin ? origin() : selector.choose(r, now);
        if (t == null || !r.mayGoTo(t, set, now)) {
            send(r, null, now, out);
            return;
        }
        budget -= price;
        if (toOrigin) {
            sendToOrigin(r, now, out);
        } else {
            send(r, t, now, out);
        }
    }

    private void finish(OpenRequest r, long now, Actions out) {
        if (r.done) {
            return;
        }
        if (r.mayRefuse()) {
            out.refuse(r.id, retryAfter(admission.refusalProbability(r.tenant, now)));
        } else {
            counters.add(Count.FAILED);
            out.fail(r.id);
        }
        conclude(r, out);
    }

    private void conclude(OpenRequest r, Actions out) {
        for (int i = 0; i < r.attempts && set.mayCancel && !r.done; i++) {
            if (r.isOut(i)) {
                out.cancel(r.id, i);
            }
        }
        r.done = true;
        if (r.out == 0) {
            open.remove(r.id);
        }
    }

    // ---- outcomes ----

    @Override
    public void onOutcome(
            long now,
            long id,
            int attempt,
            Outcome o,
            long latency,
            boolean concluded,
            CacheNote note,
            Report report,
            Actions out) {
        OpenRequest r = open.get(id);
        if (r == null || !r.isOut(attempt)) {
            return;
        }
        TrackedNode t = r.node[attempt];
        r.ended(attempt, o);
        if (o == Outcome.CONNECT_FAILED) {
            t.recordFailedDial(now);
        } else if (o == Outcome.OK
                || o == Outcome.MISS
                || o == Outcome.ERROR
                || o == Outcome.OVERLOADED) {
            t.markUp();
        }
        released(r, attempt, o, now, out);
        selector.busy(r, t, o, note, report, latency, now);
        boolean fromOrigin = fleet.isOrigin(t);
        switch (o) {
            case OK -> counters.add(now - r.arrived > r.type.targetUs ? Count.LATE : Count.SERVED);
            case ERROR -> counters.add(Count.ERRORS);
            case OVERLOADED -> counters.add(Count.OVERLOADED);
            case TIMEOUT -> counters.add(Count.TIMEOUTS);
            case CONNECT_FAILED -> counters.add(Count.CONNECT_FAILED);
            case RESET -> counters.add(Count.RESETS);
            default -> {}
        }
        if (o != Outcome.CANCELLED && o != Outcome.NOT_SENT) {
            learn(r, attempt, t, fromOrigin, o, note, latency, now);
        }
        if (r.done || concluded) {
            conclude(r, out);
        } else if (o == Outcome.MISS) {
            sendToOrigin(r, now, out);
        } else if (fromOrigin && !r.write) {
            send(r, null, now, out);
        } else {
            retry(r, now, out);
        }
    }

    private void learn(
            OpenRequest r,
            int attempt,
            TrackedNode t,
            boolean fromOrigin,
            Outcome o,
            CacheNote note,
            long latency,
            long now) {
        boolean good = o == Outcome.OK || o == Outcome.MISS;
        // by the latency, which excludes the time that the answer waited to be read
        boolean late = good && r.sentAt[attempt] + latency - r.arrived > r.type.targetUs;
        boolean fetched =
                !set.cacheAside && !r.write && note != CacheNote.HIT && note != CacheNote.NONE;
        // before this outcome is counted, which is a single failure
        double ofNode = t.passOver.get(now);
        if (fromOrigin || fetched) {
            boolean failed = !good || fetched && latency > r.type.targetUs;
            originFailed(failed, ORIGIN_WEIGHT, now);
        }
        if (!fromOrigin && o != Outcome.CONNECT_FAILED && (good || !fetched)) {
            boolean lateHit = latency > r.type.targetUs && !fetched;
            double weight = o == Outcome.TIMEOUT || o == Outcome.OK ? NodeSelector.SOFT : 1;
            selector.evidence(t, !good || lateHit, weight, now);
        }
        if (o == Outcome.OK || o == Outcome.OVERLOADED) {
            admission.recordAnswer(o == Outcome.OK, latency, r.type.targetUs, now);
        }
        if (o == Outcome.OK && !r.write) {
            devUs += (Math.abs(latency - meanUs) - devUs) / 8;
            meanUs += (latency - meanUs) / 8;
        }
        if (o == Outcome.OK) {
            budget = Math.min(BUDGET_MOST, budget + BUDGET_EARN);
        }
        if (!r.done) {
            boolean failed =
                    late
                            || o == Outcome.TIMEOUT
                            || o == Outcome.OVERLOADED
                            || o == Outcome.ERROR && !set.cacheAside;
            // Blame: failures of the origin are attributed to the origin first; so are those of a
            // node that fails more than others to that node, unless the tenant exceeds its quota by
            // more than the mean request does.
            boolean over = demand.quotaRatio(r.tenant, now) > demand.meanRatio();
            double beyond = selector.learnUsual(ofNode);
            double known = fromOrigin || fetched ? originChance.get(now) : over ? 0 : beyond;
            boolean reported = o == Outcome.OVERLOADED || o == Outcome.ERROR;
            admission.recordOutcome(r, failed, o == Outcome.OK, fromOrigin, known, reported, now);
        }
    }

    private void originFailed(boolean failed, double weight, long now) {
        NodeSelector.step(originChance, failed, demand.rate(now) * ORIGIN_PART, weight, now);
    }

    // ---- other events ----

    @Override
    public void onStreaming(long now, long id, int attempt, Actions out) {
        OpenRequest r = open.get(id);
        if (r == null || r.done) {
            return;
        }
        // the attempt belongs to the client now: nothing else is sent, and no other answer given
        for (int i = 0; i < r.attempts && set.mayCancel; i++) {
            if (i != attempt && r.isOut(i)) {
                out.cancel(id, i);
            }
        }
        r.done = true;
    }

    @Override
    public void onAborted(long now, long id, Actions out) {
        OpenRequest r = open.get(id);
        if (r != null && !r.done) {
            conclude(r, out);
        }
    }

    @Override
    public void onTimer(long now, long label, Actions out) {
        int kind = (int) label & 7;
        OpenRequest r = kind == TIMER_ASK ? null : open.get(label >>> 3);
        if (kind == TIMER_ASK && !subscribed) {
            subscribed = true;
            out.subscribe();
        } else if (r == null || r.done) {
            return;
        } else if (kind == TIMER_COPY && r.out != 0 && r.write && r.atOrigin && r.attempts == 1) {
            // a write still outstanding indicates a slow origin before its time-out, which would be
            // too late
            originFailed(true, ORIGIN_WEIGHT * NodeSelector.SOFT, now);
        } else if (kind == TIMER_COPY && r.out != 0 && !r.atOrigin) {
            // slow compared with others: without this, a node whose copies are answered first
            // elsewhere would never be blamed
            int first = Integer.numberOfTrailingZeros(r.out);
            TrackedNode slow = r.node[first];
            if (idleLimit.silentAfterIdling(r.idledUs[first], now)) {
                closeIdle(slow, out);
            }
            double waited = r.waited(now - r.arrived);
            selector.evidence(
                    slow, true, NodeSelector.SOFT * Math.min(1, waited / COPY_SOONEST), now);
            slow.busyShare.set(Math.max(slow.busyShare.get(now), waited), now);
            retry(r, now, out);
        }
    }

    @Override
    public void onProbe(long now, int node, Outcome o, long latency, Report report, Actions out) {
        // probes are not used
    }

    @Override
    public void onMessage(long now, int router, byte[] data, Actions out) {
        // messages are not used: all rules and the normal path work without them
    }
}
