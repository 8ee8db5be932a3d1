package holdproxy.policy;

/** Whether a request is let in: FAIR's table of the tenants' chances, and what outcomes add to it. */
final class Door {
    // FAIR: levels x buckets. Two tenants share all buckets with chance 64^-3; two tables are 5 KB
    // a proxy.
    static final int LEVELS = 3;
    static final int BUCKETS = 64;
    // FAIR: Pi is such that so many seconds of nothing but failures take a chance from 0 to 1,
    // however many
    // requests these are; a success takes back a hundredth of one failure.
    static final double EVIDENCE_S = 1.5;
    static final double PD_SHARE = 0.01;
    static final double PI_MOST = 0.8;
    // Redemption: a chance fades by 1/e in this time while this share of requests fails or that of
    // answers
    // is crowded, sooner in proportion while less is: the door opens once its cause is gone.
    static final double TENANT_FADE_US = 10e6;
    static final double TENANT_FADE_LEAST_US = 0.4e6;
    static final double FADE_SHARE = 0.1;
    static final double FADE_CROWDED = 0.2;
    // The share of failures is counted over so many requests, but no less and no more than these
    // times.
    static final double SHARE_REQUESTS = 20;
    static final double SHARE_US = 0.3e6;
    static final double SHARE_MOST_US = 3e6;
    // Fresh seeds this often; several fading times, so that the shadow has learnt what the live
    // table knows.
    static final long ROTATE_US = 60_000_000;
    // Running over a quota weighs at most this much more than one step.
    static final double QUOTA_MOST = 4;
    // A choked fleet heals only at a fraction of its load: failures running without one success
    // prove it. The
    // less is asked for, the less likely it is choked: where a quarter fails two in a row are mere
    // chance.
    static final double STREAK_TELLS = 3;
    static final double STREAK_MOST = 4;
    // While they run, chances fade up to so many times slower: many proxies' trials keep a fleet
    // choked.
    static final double FADE_MOST = 3;
    // Queues show in answers that took over this part of their aim: crowded. So many of them tell
    // it surely.
    static final double CROWDED_PART = 0.5;
    static final double CROWDED_SURE = 0.15;

    private final Demand demand;
    private final Random random;
    private Blue live;
    private Blue shadow;
    private long rotateAt;

    /** Share of crowded answers lately. */
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

    /** The first rotation comes within half to the whole of its time. */
    void begin(long now) {
        rotateAt = now + (long) (ROTATE_US * (0.5 + 0.5 * random.unit()));
    }

    /** Rotation: the shadow, which has learnt meanwhile, takes over from the live table. */
    void rotate(long now) {
        if (now >= rotateAt) {
            Blue old = live;
            live = shadow;
            old.restart(random.next());
            shadow = old;
            rotateAt = now + ROTATE_US;
        }
    }

    /** The tenant's chance of being refused: the least over the levels. */
    double chance(int tenant, long now) {
        return live.min(tenant, now);
    }

    /** For people: what the door has seen lately. */
    String seen() {
        return "failures running "
                + (long) streak
                + ", failing "
                + Math.round(100 * failing)
                + "%, answers crowded "
                + Math.round(100 * crowding)
                + "%";
    }

    /** An answer came, served after so long or as "busy". */
    void answered(boolean served, long latencyUs, long aimUs, long now) {
        boolean crowded = !served || latencyUs > CROWDED_PART * aimUs;
        crowding += ((crowded ? 1 : 0) - crowding) * part(crowdingAt, now);
        crowdingAt = now;
    }

    /**
     * An attempt of an open request has failed, or served ({@code ok}), or neither. {@code known}: how much
     * of a failure is somebody else's; {@code told}: the node said so, instead of being silent or late.
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
            share *= Math.min(1, crowding / CROWDED_SURE); // else silence, not want of capacity
        }
        // but if nothing succeeds at all, neither single nodes nor the network are to blame
        share = Math.max(share, Math.min(1, streak / (STREAK_TELLS * STREAK_MOST)));
        if (failed || ok) {
            fade(failed ? share : 0, now);
        }
        evidence(r, failed, ok, share, now);
    }

    /** Decay: slow while requests fail or answers tell of queues, quick once neither is the case. */
    private void fade(double failure, long now) {
        failing += (failure - failing) * part(failingAt, now);
        failingAt = now;
        double pressure = Math.max(failing / FADE_SHARE, crowding / FADE_CROWDED);
        double fade = Math.max(TENANT_FADE_LEAST_US, TENANT_FADE_US * Math.min(1, pressure));
        fade *= Math.min(FADE_MOST, 1 + streak / STREAK_TELLS);
        live.fadeIn(fade);
        shadow.fadeIn(fade);
    }

    /** The weight of one more in a moving share, the one before having come at that time. */
    private double part(long since, long now) {
        double overUs =
                Math.max(
                        SHARE_US, Math.min(SHARE_MOST_US, SHARE_REQUESTS / demand.rate(now) * 1e6));
        return 1 - Math.exp((since - now) / overUs);
    }

    /** FAIR's two steps, on the live and the shadow table; a request counts as one failure at most. */
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
     * Flushes and slowdowns fail everyone: a tenant is blamed by how far it runs over its quota compared with
     * the mean request here, so that within one proxy those beyond their quota are refused first.
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
