package holdproxy.policy;

import holdproxy.policy.PolicyCounters.Count;
import java.util.Arrays;

/**
 * Selects the node for a request: the less busy of two hashed candidates, without those that fail or warm
 * up.
 */
final class NodeSelector {
    // Candidates ranked for a key: two, and spares for those that fail, warm up or were tried.
    static final int CHOICES = 2;
    static final int RANKED = 12;
    // A tie goes to the second candidate if the first reports this much more of its cores busy.
    static final double BUSY_TIE = 0.2;
    // Without hit or miss notes, load is estimated from the latency of reads, each with this
    // weight.
    static final double BUSY_LEARN = 0.3;
    // Weight of a time-out or late answer, which says less about a node than a broken connection,
    // an error or a full queue.
    static final double SOFT = 0.5;
    static final double NODE_PI = 0.1;
    static final double NODE_PI_MOST = 0.8;
    static final double NODE_EVIDENCE_S = 3;
    static final double NODE_PD_SHARE = 0.2;
    // A proxy with little traffic visits a node rarely: what it learnt there has to last for about
    // this many visits.
    static final double NODE_FADE_VISITS = 2;
    static final double NODE_FADE_MOST_US = 60e6;
    // Failures that most nodes have alike are no reason to pass one over: this part of the usual
    // probability is deducted.
    static final double USUAL_PART = 0.7;
    static final double USUAL_LEARN = 1.0 / 64;
    // For monitoring: passed over with more than this probability, a node counts as avoided.
    static final double AVOIDED_FROM = 0.5;
    // A key is hot if it was seen recently and if it alone would fill this share of a node's part
    // of the traffic.
    static final double HOT_SEEN = 0.3;
    static final double HOT_SHARE = 0.5;
    static final double HEAT_US = 20e6;
    static final int HEAT_BUCKETS = 256;
    // Part of a cold node's capacity that admitted keys may fill at first: each miss costs it extra
    // work. The load tells how many keys fill it; it is taken to be at least LOAD_LEAST, as a proxy
    // just started knows no rates.
    static final double LOAD_LEAST = 0.6;
    static final double COLD_PART = 0.75;

    private final NodeTable fleet;
    private final RequestRates demand;
    private final SplitMix64 random;
    private final PolicyCounters tally;
    private final BlueTable heat;
    private final DecayingValue heatCount = new DecayingValue(HEAT_US);
    private final TrackedNode[] top = new TrackedNode[RANKED];
    private final double[] topScore = new double[RANKED];
    private Router.Settings set;

    /** The median probability of being passed over among the nodes that attempts were sent to. */
    private double usualNode;

    NodeSelector(NodeTable fleet, RequestRates demand, SplitMix64 random, PolicyCounters tally) {
        this.fleet = fleet;
        this.demand = demand;
        this.random = random;
        this.tally = tally;
        heat = new BlueTable(AdmissionControl.LEVELS, HEAT_BUCKETS, HEAT_US, random.nextLong());
    }

    void settings(Router.Settings settings) {
        set = settings;
    }

    /** Counts an admitted request for this key. */
    void wanted(long key, long now) {
        if (key != 0) {
            heat.add(key, 1, Double.MAX_VALUE, now);
            heatCount.count(now);
        }
    }

    /**
     * The number of listed nodes that are avoided: left out by operators, down, or passed over more often
     * than not.
     */
    int avoided(long now) {
        return fleet.countMatching(t -> t.isAvoided(USUAL_PART * usualNode, AVOIDED_FROM, now));
    }

    /**
     * Of two hashed candidates, the one with fewer of this proxy's requests in flight; ties go to the
     * first.
     */
    TrackedNode choose(OpenRequest r, long now) {
        long key = r.key != 0 ? r.key : random.nextLong();
        int copies = r.key != 0 ? hotCopies(r.key, now) : 1;
        r.hot = copies > 1;
        if (copies > 1) {
            key ^= (long) (random.nextUnit() * copies) << 48;
        }
        TrackedNode[] ranked = rank(key);
        TrackedNode best = null;
        int seen = 0;
        for (int i = 0; i < ranked.length && ranked[i] != null && seen < CHOICES; i++) {
            TrackedNode t = ranked[i];
            if (!counted(Count.DOWN, t.isDown(now))
                    && !r.tried(t)
                    && r.mayGoTo(t, set, now)
                    && admits(t, r, key, now)
                    && !passedOver(t, key, now)) {
                best = seen++ == 0 || lessBusy(t, best, now) ? t : best;
            }
        }
        return best;
    }

    /**
     * Weighted rendezvous hashing: the nodes with the lowest of about exp(1)/weight, best first. The
     * array is reused by the next call and ends with null if fewer are ready.
     */
    private TrackedNode[] rank(long key) {
        Arrays.fill(top, null);
        int topCount = 0;
        int most = Math.min(RANKED, fleet.readyCount);
        double worst = Double.MAX_VALUE;
        for (int i = 0; i < fleet.readyCount; i++) {
            double x = SplitMix64.toUnit(SplitMix64.mix(key ^ fleet.readySalts[i]));
            double score = x * (1 + 0.5 * x) * fleet.readyInverseWeights[i];
            if (topCount == most && score >= worst) {
                continue;
            }
            int j = topCount < most ? topCount++ : most - 1;
            for (; j > 0 && topScore[j - 1] > score; j--) {
                top[j] = top[j - 1];
                topScore[j] = topScore[j - 1];
            }
            top[j] = fleet.readyNodes[i];
            topScore[j] = score;
            worst = topScore[topCount - 1];
        }
        return top;
    }

    private boolean counted(Count what, boolean so) {
        if (so) {
            tally.add(what);
        }
        return so;
    }

    /**
     * Fewer of this proxy's requests in flight; with few per proxy most are ties, which reported load
     * decides.
     */
    private static boolean lessBusy(TrackedNode t, TrackedNode best, long now) {
        int more = t.inFlight - best.inFlight;
        return more < 0 || more == 0 && best.busyShare.get(now) > t.busyShare.get(now) + BUSY_TIE;
    }

    /**
     * Over how many pairs of nodes to spread a key: more than one only if the key alone would overload
     * its nodes.
     */
    private int hotCopies(long key, long now) {
        double all = heatCount.get(now);
        // without this request and the expected hash collisions
        double before = heat.min(key, now) - 1 - all / HEAT_BUCKETS;
        double copies = before < HOT_SEEN ? 1 : 1 + before / all * fleet.readyCount / HOT_SHARE;
        return (int) Math.min(fleet.readyCount, copies);
    }

    /**
     * Warm-up of cold nodes: every proxy admits the same growing set of keys, so that their sum stays
     * within what the node can handle. Hot keys and retries are not sent there: they would come on top of
     * that budget.
     */
    private boolean admits(TrackedNode t, OpenRequest r, long key, long now) {
        long since = t.warmUpStart();
        if (since == Long.MIN_VALUE || now - since >= set.coldUs) {
            return true;
        } else if (r.hot || r.attempts > 0) {
            return false;
        }
        double warm = Math.max(0, (double) (now - since) / set.coldUs);
        double capacity = set.coldFrom + (1 - set.coldFrom) * warm;
        double part = COLD_PART + (1 - COLD_PART) * warm;
        double load = Math.max(LOAD_LEAST, Math.min(1, demand.demandOverQuotas(now)));
        boolean admitted =
                SplitMix64.toUnit(SplitMix64.mix(key + 31 * SplitMix64.mix(t.id)))
                        < capacity * part / load;
        tally.add(admitted ? Count.SENT_COLD : Count.HELD_FROM_COLD);
        return admitted;
    }

    /**
     * A failing node is passed over with its probability, and still gets trial requests. The decision is
     * a hash of key and node, so that all proxies move the same keys first and each of these is cached in
     * one other place.
     */
    private boolean passedOver(TrackedNode t, long key, long now) {
        double chance = t.passOver.get(now) - USUAL_PART * usualNode;
        return counted(
                Count.PASSED_OVER,
                chance > 0
                        && SplitMix64.toUnit(SplitMix64.mix(key - 31 * SplitMix64.mix(t.id)))
                                < chance);
    }

    /**
     * Moves the usual probability towards that of a node that was sent to; returns how far it was below
     * that.
     */
    double learnUsual(double chance) {
        double beyond = chance - usualNode;
        usualNode += Math.signum(beyond) * USUAL_LEARN;
        return beyond;
    }

    /** Updates how busy a node is, from its report or, without one, from the latency. */
    void busy(
            OpenRequest r,
            TrackedNode t,
            Router.Outcome o,
            Router.CacheNote note,
            Router.Report report,
            long latency,
            long now) {
        if (report.busy >= 0) {
            t.busyShare.set(report.busy, now);
        } else if (note == Router.CacheNote.HIT && o == Router.Outcome.OK) {
            t.busyShare.set(
                    r.waited(latency), now); // no report: estimated from the latency of hits
        } else if (note == Router.CacheNote.NONE
                && !r.write
                && (o == Router.Outcome.OK || o == Router.Outcome.TIMEOUT)) {
            // no report and no notes: averaged, so that a single fetch does not look like a queue
            double before = t.busyShare.get(now);
            t.busyShare.set(before + (Math.min(1, r.waited(latency)) - before) * BUSY_LEARN, now);
        }
    }

    /** Counts a failure or success in the node's own bucket. */
    void evidence(TrackedNode t, boolean failure, double weight, long now) {
        double rate = demand.rate(now) / Math.max(1, fleet.readyCount);
        step(t.passOver, failure, rate, weight, now);
        t.passOver.setDecayUs(
                Math.max(
                        TrackedNode.DECAY_US,
                        Math.min(NODE_FADE_MOST_US, NODE_FADE_VISITS / rate * 1e6)));
    }

    /** BLUE for a single bucket; proxies with little traffic take larger steps. */
    static void step(DecayingValue chance, boolean failure, double rate, double weight, long now) {
        double step =
                Math.max(NODE_PI, Math.min(NODE_PI_MOST, 1 / (rate * NODE_EVIDENCE_S + 1e-9)));
        chance.add(failure ? step * weight : -step * NODE_PD_SHARE, BlueTable.PROBABILITY_MAX, now);
    }
}
