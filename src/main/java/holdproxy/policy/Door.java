package holdproxy.policy;

/** Admission control: FAIR's table of the tenants' refusal probabilities, and its updates from outcomes. */
final class Door {
    // FAIR: levels x buckets. Two tenants share all buckets with probability 64^-3; two tables take
    // 5 KB per proxy.
    static final int LEVELS = 3;
    static final int BUCKETS = 64;
    // FAIR: Pi is such that this many seconds of nothing but failures raise a probability from 0 to
    // 1, whatever the request rate; a success takes back a hundredth of one failure.
    static final double EVIDENCE_S = 1.5;
    static final double PD_SHARE = 0.01;
    static final double PI_MOST = 0.8;
    // Decay: a probability falls to 1/e in this time while FADE_SHARE of the requests fail or
    // FADE_CROWDED of the answers indicate queueing, proportionally sooner while fewer do: refusals
    // end once their cause is gone.
    static final double TENANT_FADE_US = 10e6;
    static final double TENANT_FADE_LEAST_US = 0.4e6;
    static final double FADE_SHARE = 0.1;
    static final double FADE_CROWDED = 0.2;
    // The share of failures is averaged over this many requests, but over no less and no more than
    // these times.
    static final double SHARE_REQUESTS = 20;
    static final double SHARE_US = 0.3e6;
    static final double SHARE_MOST_US = 3e6;
    // The hash seeds change this often: several decay times, so that the shadow table has learnt
    // what the live one knows.
    static final long ROTATE_US = 60_000_000;
    // Exceeding a quota multiplies a step by at most this.
    static final double QUOTA_MOST = 4;
    // A congested fleet recovers only at a fraction of its load; consecutive failures without one
    // success indicate this. The lower the demand, the less likely is congestion: where a quarter
    // of the requests fail, two failures in a row are mere coincidence.
    static final double STREAK_TELLS = 3;
    static final double STREAK_MOST = 4;
    // During such a streak, probabilities decay up to this many times slower: the trial requests of
    // many proxies keep a fleet congested.
    static final double FADE_MOST = 3;
    // Answers that took over this part of their latency target indicate queueing; at this share of
    // such answers it is certain.
    static final double CROWDED_PART = 0.5;
    static final double CROWDED_SURE = 0.15;

    private final Demand demand;
    private final Random random;
    private Blue live;
    private Blue shadow;
    private long rotateAt;

    /** Recent share of answers that indicate queueing. */
    private double crowding;

    private long crowdingAt;
    private double streak;
    private double failing;
    private long failingAt;

    Door(Demand demand, Random random) {
        this.demand = demand;
        this.random = random;
        live = new Blue(LEVELS, BUCKETS, TENANT_FADE_US, random.next());
        shadow = new Blue(LEVELS, BUCKETS, TENANT_FADE_US, random.next());
    }

    /** Schedules the first rotation, after half to all of the rotation period. */
    void begin(long now) {
        rotateAt = now + (long) (ROTATE_US * (0.5 + 0.5 * random.unit()));
    }

    /** Rotation: the shadow table, which has learnt in the meantime, replaces the live one. */
    void rotate(long now) {
        if (now >= rotateAt) {
            Blue old = live;
            live = shadow;
            old.restart(random.next());
            shadow = old;
            rotateAt = now + ROTATE_US;
        }
    }

    /** The probability that a request of the tenant is refused: the minimum over the levels. */
    double chance(int tenant, long now) {
        return live.min(tenant, now);
    }

    /** Recent observations, for the status line in the log. */
    String seen() {
        return "consecutive failures "
                + (long) streak
                + ", failure share "
                + Math.round(100 * failing)
                + "%, answers indicating queueing "
                + Math.round(100 * crowding)
                + "%";
    }

    /** Counts an answer and its latency; {@code served} is false if the node was overloaded. */
    void answered(boolean served, long latencyUs, long aimUs, long now) {
        boolean crowded = !served || latencyUs > CROWDED_PART * aimUs;
        crowding += ((crowded ? 1 : 0) - crowding) * part(crowdingAt, now);
        crowdingAt = now;
    }

    /**
     * Counts an attempt that failed, succeeded ({@code ok}), or neither. {@code known}: the part of a
     * failure that others are to blame for; {@code told}: the node reported the failure, instead of being
     * silent or late.
     */
    void outcome(
            Open r,
            boolean failed,
            boolean ok,
            boolean fromOrigin,
            double known,
            boolean told,
            long now) {
        streak = fromOrigin ? streak : failed ? streak + 1 : ok ? 0 : streak;
        double share = 1 - Math.max(0, known);
        if (!told) {
            // without queueing, silence is no lack of capacity
            share *= Math.min(1, crowding / CROWDED_SURE);
        }
        // if nothing succeeds at all, neither single nodes nor the network are to blame
        share = Math.max(share, Math.min(1, streak / (STREAK_TELLS * STREAK_MOST)));
        if (failed || ok) {
            fade(failed ? share : 0, now);
        }
        evidence(r, failed, ok, share, now);
    }

    /** Decay: slow while requests fail or answers indicate queueing, fast once neither is the case. */
    private void fade(double failure, long now) {
        failing += (failure - failing) * part(failingAt, now);
        failingAt = now;
        double pressure = Math.max(failing / FADE_SHARE, crowding / FADE_CROWDED);
        double fade = Math.max(TENANT_FADE_LEAST_US, TENANT_FADE_US * Math.min(1, pressure));
        fade *= Math.min(FADE_MOST, 1 + streak / STREAK_TELLS);
        live.fadeIn(fade);
        shadow.fadeIn(fade);
    }

    /** The weight of a new sample in a moving average whose previous sample came at {@code since}. */
    private double part(long since, long now) {
        double overUs =
                Math.max(
                        SHARE_US, Math.min(SHARE_MOST_US, SHARE_REQUESTS / demand.rate(now) * 1e6));
        return 1 - Math.exp((since - now) / overUs);
    }

    /** Applies FAIR's steps to the live and the shadow table; a request counts as one failure at most. */
    private void evidence(Open r, boolean failure, boolean success, double share, long now) {
        if (failure ? r.blamed : !success) {
            return;
        }
        r.blamed |= failure;
        double step =
                Math.min(PI_MOST, 1 / (demand.admittedRate(r.tenant, now) * EVIDENCE_S + 1e-9));
        step *= failure ? overQuota(r.tenant, now) * share : -PD_SHARE;
        live.add(r.tenant, step, Blue.CHANCE_MOST, now);
        shadow.add(r.tenant, step, Blue.CHANCE_MOST, now);
    }

    /**
     * Cache flushes and slowdowns fail requests of all tenants. A tenant is blamed by how far it exceeds
     * its quota compared with the mean request here, so that within one proxy tenants beyond their quota
     * are refused first.
     */
    private double overQuota(int tenant, long now) {
        double mean = demand.meanRatio();
        double ratio = demand.quotaRatio(tenant, now) / Math.max(1e-3, mean);
        double asked = Math.min(1, mean);
        double beyondChance = Math.max(0, streak - STREAK_TELLS * (1 - asked));
        double certain = Math.min(STREAK_MOST, beyondChance / STREAK_TELLS);
        return Math.min(QUOTA_MOST, ratio * ratio) * Math.max(asked * asked, certain);
    }
}
