package holdproxy.policy;

import holdproxy.policy.Tally.Count;
import java.util.Arrays;

// The interface, with its types, events and actions, stands in Router.java.

/**
 * The decisions of holdproxy: stochastic fair BLUE per proxy after "FAIR: Allocating Resources Fairly at
 * Scale" (M. Sathe), with two hashed candidates per key. Here: attempts, retries and their budget,
 * connections, calls to discovery. {@link Door} lets requests in or refuses them, {@link Placement} finds
 * their nodes. The comments name what departs from FAIR and when.
 */
public final class Choice implements Router {
    // About this part of all requests goes on to the origin; only the steps of its bucket depend on
    // it.
    static final double ORIGIN_PART = 0.1;
    // The origin serves every proxy: its bucket balances at about a sixth of fetches failing, not
    // at half.
    static final double ORIGIN_WEIGHT = 3;
    // Further attempts and second copies are paid from a budget earned by requests.
    static final double BUDGET_EARN = 0.1;
    static final double BUDGET_MOST = 10;
    static final double BUDGET_FIRST = 1;
    // A copy may turn out needless and costs its second cache a miss, so it is dearer than a
    // further attempt.
    static final double COPY_PRICE = 5;
    // Second copies go out between these shares of the aim, by the round-trip estimate in between.
    static final double COPY_SOONEST = 0.3;
    static final double COPY_LATEST = 0.6;
    // Discovery: after a failed call the next one follows within this time for each router, twice
    // as
    // long after each further failure, and within what leaves two further calls of 1 s before what
    // discovery has counts as told, 6 s after it could be reached.
    static final double ASK_RETRY_US_PER_ROUTER = 100_000;
    static final double ASK_RETRY_MOST_US = 2_000_000;
    static final double ASK_RETRY_PART = 0.4;
    // After silence: two calls of which one is not answered either fit into what is left of the 6
    // s.
    static final double SILENT_SPREAD_US = 500_000;
    static final double SILENT_US_PER_ROUTER = 50_000;
    static final long PUSHED_RETRY_US = 100_000;
    // Pushed lists count at once: pause, dial (at most half) and answer together stay within the
    // grace.
    static final double PUSHED_RETRY_PART = 0.2;
    static final long REPORT_EVERY_US = 20_000_000;
    static final int TIMER_ASK = 0;
    static final int TIMER_COPY = 1;

    /** For people who count; nothing is decided by it. */
    public final Tally tally = new Tally();

    private Settings set;
    private final Random random;
    private final Demand demand;
    private final Door door;
    private final Fleet fleet;
    private final Placement placement;
    private final Fading originChance = new Fading(Target.FADE_US);
    private final LongMap<Open> open = new LongMap<>();
    private Idling idling;
    private double leastWorth;
    private double budget = BUDGET_FIRST;
    private double meanUs;
    private double devUs;
    private long reportAt = Long.MIN_VALUE;
    private boolean subscribed;
    private int askFailures;

    public Choice(Settings settings, long seed, long nowUs, Actions out) {
        random = new Random(seed);
        demand = new Demand(nowUs);
        door = new Door(demand, random);
        fleet = new Fleet(settings);
        placement = new Placement(fleet, demand, random, tally);
        door.begin(nowUs);
        onSettings(nowUs, settings);
        if (settings.askForNodes) {
            out.timer(
                    0, TIMER_ASK); // what is held may be old: a change counts however young one is
        }
    }

    @Override
    public void onSettings(long now, Settings settings) {
        settings.check();
        if (set == null || set.idleCloseUs != settings.idleCloseUs) {
            idling = new Idling(settings.idleCloseUs);
        }
        set = settings;
        leastWorth =
                Math.max(
                        1e-6, Arrays.stream(set.classes).mapToDouble(c -> c.worth).min().orElse(1));
        demand.settings(settings);
        placement.settings(settings);
    }

    // ---- the node list ----

    @Override
    public void onNodes(long now, ListKind kind, Node[] nodes, int count, Actions out) {
        boolean none = kind == ListKind.FAILED || kind == ListKind.SILENT;
        tally.add(none ? Count.LISTS_FAILED : Count.LISTS);
        if (none) {
            subscribed = false;
            report(now, "node list call failed", out);
            out.timer((long) askAgainUs(kind), TIMER_ASK);
            return;
        }
        askFailures = 0;
        fleet.apply(kind, nodes, count);
    }

    /**
     * When to ask again. A silent watch is opened anew before what it misses counts as told, spread over no
     * more than that leaves, as all proxies may have met the silence at once. After a failed call:
     * exponential backoff with full jitter, by the number of routers, since all of them may have failed at
     * once. Lists that are pushed count at once, also those that come when a silent agent is back, and it is
     * this proxy's own.
     */
    private double askAgainUs(ListKind kind) {
        if (!set.askForNodes) {
            askFailures++;
            double within =
                    set.drainGraceUs > 0 ? PUSHED_RETRY_PART * set.drainGraceUs : PUSHED_RETRY_US;
            return Math.min(PUSHED_RETRY_US, within) * (0.5 + random.unit());
        }
        if (kind == ListKind.SILENT) {
            return random.unit() * Math.min(SILENT_SPREAD_US, SILENT_US_PER_ROUTER * set.routers);
        }
        double retry = ASK_RETRY_US_PER_ROUTER * set.routers * (1L << Math.min(askFailures++, 5));
        double most = Math.min(ASK_RETRY_MOST_US, ASK_RETRY_PART * set.askWithinUs);
        return random.unit() * Math.min(retry, most);
    }

    @Override
    public void onLeftOut(long now, int node, boolean out, long at) {
        fleet.leaveOut(node, out, at);
    }

    /** Listed nodes that are avoided: left out by operators, down, or passed over more often than not. */
    public int avoided(long now) {
        return placement.avoided(now);
    }

    // ---- arrival: the tenant's chance ----

    @Override
    public void onRequest(long now, Request q, Actions out) {
        door.rotate(now);
        int tenant = demand.tenant(q.tenant);
        tally.add(q.repeat ? Count.REPEATS : Count.REQUESTS);
        demand.asked(tenant, q.repeat, now);
        double chance = door.chance(tenant, now);
        if (chance > 0 && random.unit() < chance) {
            tally.add(Count.REFUSED_BY_CHANCE);
            report(now, "refusing requests", out);
            out.refuse(q.id, retryAfter(chance));
            return;
        }
        demand.admitted(tenant, now);
        int type = Math.max(0, Math.min(q.requestClass, set.classes.length - 1));
        Open r = new Open(q, set.classes[type], tenant, set.maxAttempts, now);
        open.put(r.id, r);
        placement.wanted(r.key, now);
        start(r, now, out);
    }

    /** A line for the people on call, at most one in a while however bad it gets. */
    private void report(long now, String what, Actions out) {
        if (now >= reportAt) {
            reportAt = now + REPORT_EVERY_US;
            // joined and not formatted: a formatter's classes cost a starting proxy a tenth of a
            // second
            out.log(
                    what
                            + ": origin chance "
                            + Math.round(100 * originChance.get(now)) / 100.0
                            + ", "
                            + door.seen()
                            + ", list calls failed "
                            + askFailures);
        }
    }

    /** The surer the refusal, the longer the advice. */
    private long retryAfter(double chance) {
        return set.retryAfter ? (long) (set.maxRetryAfterUs * Math.max(0.2, chance)) : 0;
    }

    // ---- choosing a node ----

    private void start(Open r, long now, Actions out) {
        if (set.aside && r.write) {
            sendToOrigin(r, now, out);
        } else {
            send(r, placement.choose(r, now), now, out);
        }
        if (!r.done && set.secondCopies) {
            double aim = r.type.aimUs;
            double wait =
                    Math.max(COPY_SOONEST * aim, Math.min(COPY_LATEST * aim, meanUs + 4 * devUs));
            out.timer((long) wait, r.id << 3 | TIMER_COPY);
        }
    }

    private Target origin() {
        Target best = null;
        for (Target t : fleet.origins) {
            if (best == null || t.inFlight < best.inFlight) {
                best = t;
            }
        }
        return best;
    }

    // ---- attempts ----

    /** When waiting on stops being worth anything: the aim where late answers earn nothing, else when due. */
    private long giveUpAt(Open r) {
        return r.type.lateWorth > 0
                ? r.due
                : Math.min(r.due, r.arrived + r.type.aimUs - 2 * set.tickUs);
    }

    private void send(Open r, Target t, long now, Actions out) {
        long left = giveUpAt(r) - now;
        if (t == null || left <= 0 || r.attempts >= r.attemptsMost) {
            if (r.out == 0) {
                tally.add(
                        left <= 0
                                ? Count.REFUSED_WITHOUT_TIME
                                : r.attempts > 0 && budget < 1
                                        ? Count.REFUSED_WITHOUT_BUDGET
                                        : Count.REFUSED_WITHOUT_NODE);
                finish(r, now, out); // else an attempt still out may bring the answer
            }
            return;
        }
        if (t.idleSince != Long.MIN_VALUE && now - t.idleSince > idling.limitUs(now)) {
            closeIdle(t, out);
        }
        r.idledUs[r.attempts] = t.idleSince != Long.MIN_VALUE ? now - t.idleSince : -1;
        tally.add(r.attempts == 0 ? Count.ATTEMPTS : r.out == 0 ? Count.FURTHER : Count.COPIES);
        r.sent(t, now);
        out.send(r.id, t.id, giveUpAt(r) < r.due ? left : 0);
    }

    /**
     * Connections: silence on one that had idled (dropped unseen), or a node that takes no new ones (all its
     * places held by idle ones) shortens the time that any may idle. One that would be closed before its next
     * use is closed at once, which leaves room for others; where handshakes have a price, not before silence
     * was met. A node that is down turns connections away too: where each new one is paid for by the whole
     * fleet, that is no reason to close those to all other nodes.
     */
    private void released(Open r, int attempt, Outcome o, long now, Actions out) {
        Target t = r.node[attempt];
        double limit = idling.limitUs(now);
        if (fleet.isOrigin(t)) {
            return; // one that all share: a handshake there costs the most when it is slow
        }
        if (o == Outcome.CONNECT_FAILED) {
            if (set.handshakePrice == 0) {
                idling.turnedAway(now);
            }
        } else if (o == Outcome.RESET) {
            t.idleSince = Long.MIN_VALUE;
        } else {
            if (o == Outcome.OK) {
                idling.served(r.idledUs[attempt], limit, now);
            }
            t.idleSince = now;
            boolean freely = set.handshakePrice == 0 || limit < set.idleCloseUs / 2.0;
            // silence on one says nothing of others that idled no longer than those that came back
            boolean suspect = o == Outcome.TIMEOUT && idling.suspect(r.idledUs[attempt], now);
            if (suspect || freely && fleet.readyCount / demand.rate(now) * 1e6 > limit) {
                closeIdle(t, out);
            }
        }
    }

    private void closeIdle(Target t, Actions out) {
        tally.add(Count.IDLE_CLOSED);
        t.idleSince = Long.MIN_VALUE;
        out.closeIdle(t.id);
    }

    private void sendToOrigin(Open r, long now, Actions out) {
        double chance = originChance.get(now);
        // what is worth more goes on longer: each class meets the chance to the power of its worth
        boolean refused = chance > 0 && random.unit() < Math.pow(chance, r.type.worth / leastWorth);
        Target t = refused ? null : origin();
        // an earlier attempt of a missed read may have run
        t = t == null || r.mayGoTo(t, set, now) ? t : null;
        r.atOrigin |= t != null;
        send(r, t, now, out);
    }

    /** Trouble is not multiplied: further attempts are paid from what ordinary requests have earned. */
    private void retry(Open r, long now, Actions out) {
        boolean toOrigin = set.aside && r.write;
        if (r.out != 0 && budget < COPY_PRICE) {
            tally.add(Count.COPIES_WITHOUT_BUDGET);
        }
        // what was never begun has cost no node anything: what follows is in effect the first
        // attempt
        boolean begun = r.last != Outcome.CONNECT_FAILED && r.last != Outcome.NOT_SENT;
        double price = r.out != 0 ? COPY_PRICE : begun ? 1 : 0;
        boolean may = budget >= price && giveUpAt(r) > now && (r.out == 0 || set.secondCopies);
        Target t =
                !may || r.attempts >= r.attemptsMost
                        ? null
                        : toOrigin ? origin() : placement.choose(r, now);
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

    private void finish(Open r, long now, Actions out) {
        if (r.done) {
            return;
        }
        if (r.mayRefuse()) {
            out.refuse(r.id, retryAfter(door.chance(r.tenant, now)));
        } else {
            tally.add(Count.FAILED);
            out.fail(r.id);
        }
        conclude(r, out);
    }

    private void conclude(Open r, Actions out) {
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
        Open r = open.get(id);
        if (r == null || !r.isOut(attempt)) {
            return;
        }
        Target t = r.node[attempt];
        r.ended(attempt, o);
        if (o == Outcome.CONNECT_FAILED) {
            t.dialFailed(now);
        } else if (o == Outcome.OK
                || o == Outcome.MISS
                || o == Outcome.ERROR
                || o == Outcome.OVERLOADED) {
            t.up();
        }
        released(r, attempt, o, now, out);
        placement.busy(r, t, o, note, report, latency, now);
        boolean fromOrigin = fleet.isOrigin(t);
        switch (o) {
            case OK -> tally.add(now - r.arrived > r.type.aimUs ? Count.LATE : Count.SERVED);
            case ERROR -> tally.add(Count.ERRORS);
            case OVERLOADED -> tally.add(Count.OVERLOADED);
            case TIMEOUT -> tally.add(Count.TIMEOUTS);
            case CONNECT_FAILED -> tally.add(Count.CONNECT_FAILED);
            case RESET -> tally.add(Count.RESETS);
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
            Open r,
            int attempt,
            Target t,
            boolean fromOrigin,
            Outcome o,
            CacheNote note,
            long latency,
            long now) {
        boolean good = o == Outcome.OK || o == Outcome.MISS;
        // by what the answer took: what it lay unread is not in the latency
        boolean late = good && r.sentAt[attempt] + latency - r.arrived > r.type.aimUs;
        boolean fetched = !set.aside && !r.write && note != CacheNote.HIT && note != CacheNote.NONE;
        double ofNode =
                t.chance.get(now); // as known before this outcome, which is one failure only
        if (fromOrigin || fetched) {
            boolean failed = !good || fetched && latency > r.type.aimUs;
            originFailed(failed, ORIGIN_WEIGHT, now);
        }
        if (!fromOrigin && o != Outcome.CONNECT_FAILED && (good || !fetched)) {
            boolean lateHit = latency > r.type.aimUs && !fetched;
            double weight = o == Outcome.TIMEOUT || o == Outcome.OK ? Placement.SOFT : 1;
            placement.evidence(t, !good || lateHit, weight, now);
        }
        if (o == Outcome.OK || o == Outcome.OVERLOADED) {
            door.answered(o == Outcome.OK, latency, r.type.aimUs, now);
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
                            || o == Outcome.ERROR && !set.aside;
            // blame: the origin's failures are its own first; so are a node's that fails more than
            // others do,
            // but for tenants that run over their quota more than others do
            boolean over = demand.quotaRatio(r.tenant, now) > demand.meanRatio();
            double beyond = placement.learnUsual(ofNode);
            double known = fromOrigin || fetched ? originChance.get(now) : over ? 0 : beyond;
            boolean told = o == Outcome.OVERLOADED || o == Outcome.ERROR;
            door.outcome(r, failed, o == Outcome.OK, fromOrigin, known, told, now);
        }
    }

    private void originFailed(boolean failed, double weight, long now) {
        Placement.step(originChance, failed, demand.rate(now) * ORIGIN_PART, weight, now);
    }

    // ---- the rest ----

    @Override
    public void onStreaming(long now, long id, int attempt, Actions out) {
        Open r = open.get(id);
        if (r == null || r.done) {
            return;
        }
        // the attempt belongs to the client: nothing else is sent, and nothing answered
        for (int i = 0; i < r.attempts && set.mayCancel; i++) {
            if (i != attempt && r.isOut(i)) {
                out.cancel(id, i);
            }
        }
        r.done = true;
    }

    @Override
    public void onAborted(long now, long id, Actions out) {
        Open r = open.get(id);
        if (r != null && !r.done) {
            conclude(r, out);
        }
    }

    @Override
    public void onTimer(long now, long label, Actions out) {
        int kind = (int) label & 7;
        Open r = kind == TIMER_ASK ? null : open.get(label >>> 3);
        if (kind == TIMER_ASK && !subscribed) {
            subscribed = true;
            out.subscribe();
        } else if (r == null || r.done) {
            return;
        } else if (kind == TIMER_COPY && r.out != 0 && r.write && r.atOrigin && r.attempts == 1) {
            // a write still out tells of a slow origin before its time-out, which would be too late
            originFailed(true, ORIGIN_WEIGHT * Placement.SOFT, now);
        } else if (kind == TIMER_COPY && r.out != 0 && !r.atOrigin) {
            // slow compared with others: without this a node whose copies win elsewhere would never
            // be blamed
            int first = Integer.numberOfTrailingZeros(r.out);
            Target slow = r.node[first];
            if (idling.silent(r.idledUs[first], now)) {
                closeIdle(slow, out);
            }
            double waited = r.waited(now - r.arrived);
            placement.evidence(
                    slow, true, Placement.SOFT * Math.min(1, waited / COPY_SOONEST), now);
            slow.busy.set(Math.max(slow.busy.get(now), waited), now);
            retry(r, now, out);
        }
    }

    @Override
    public void onProbe(long now, int node, Outcome o, long latency, Report report, Actions out) {
        // none is asked for
    }

    @Override
    public void onTold(long now, int router, byte[] data, Actions out) {
        // none is asked for either: every rule and the ordinary path hold without
    }
}
