package holdproxy.policy;

/** Admission control: FAIR's table of the tenants' refusal probabilities, and its updates from outcomes. */
final class AdmissionControl {
    // FAIR: levels x buckets. Two tenants share all buckets with probability 64^-3; two tables take
    // 5 KB per proxy.
    static final int LEVELS = 3;
    static final int BUCKETS = 64;
    // FAIR: Pi is such that this many seconds of nothing but failures raise a probability from 0 to
    // 1, whatever the request rate; a success takes back a hundredth of one failure.
    static final double SATURATION_S = 1.5;
    static final double PD_FRACTION = 0.01;
    static final double PI_MAX = 0.8;
    // Decay: a probability falls to 1/e in this time while SLOW_DECAY_FAILURES of the requests fail
    // or SLOW_DECAY_QUEUEING of the answers indicate queueing, proportionally sooner while fewer
    // do: refusals end once their cause is gone.
    static final double DECAY_MAX_US = 10e6;
    static final double DECAY_MIN_US = 0.4e6;
    static final double SLOW_DECAY_FAILURES = 0.1;
    static final double SLOW_DECAY_QUEUEING = 0.2;
    // The share of failures is averaged over this many requests, but over no less and no more than
    // these times.
    static final double AVERAGE_REQUESTS = 20;
    static final double AVERAGE_MIN_US = 0.3e6;
    static final double AVERAGE_MAX_US = 3e6;
    // The hash seeds change this often: several decay times, so that the shadow table has learnt
    // what the live one knows.
    static final long ROTATION_US = 60_000_000;
    // Exceeding a quota multiplies a step by at most this.
    static final double QUOTA_FACTOR_MAX = 4;
    // A congested fleet recovers only at a fraction of its load; consecutive failures without one
    // success indicate this. The lower the demand, the less likely is congestion: where a quarter
    // of the requests fail, two failures in a row are mere coincidence.
    static final double STREAK_UNIT = 3;
    static final double STREAK_FACTOR_MAX = 4;
    // During such a streak, probabilities decay up to this many times slower: the trial requests of
    // many proxies keep a fleet congested.
    static final double STREAK_DECAY_MAX = 3;
    // Answers that took over this part of their latency target indicate queueing; at this share of
    // such answers it is certain.
    static final double QUEUEING_FRACTION = 0.5;
    static final double QUEUEING_CERTAIN = 0.15;

    private final RequestRates demand;
    private final SplitMix64 random;
    private BlueTable live;
    private BlueTable shadow;
    private long nextRotation;

    /** Recent share of answers that indicate queueing. */
    private double queueingShare;

    private long queueingShareAt;
    private double failureStreak;
    private double failureShare;
    private long failureShareAt;

    AdmissionControl(RequestRates demand, SplitMix64 random) {
        this.demand = demand;
        this.random = random;
        live = new BlueTable(LEVELS, BUCKETS, DECAY_MAX_US, random.nextLong());
        shadow = new BlueTable(LEVELS, BUCKETS, DECAY_MAX_US, random.nextLong());
    }

    /** Schedules the first rotation, after half to all of the rotation period. */
    void scheduleRotation(long now) {
        nextRotation = now + (long) (ROTATION_US * (0.5 + 0.5 * random.nextUnit()));
    }

    /** Rotation: the shadow table, which has learnt in the meantime, replaces the live one. */
    void rotateIfDue(long now) {
        if (now >= nextRotation) {
            BlueTable old = live;
            live = shadow;
            old.reset(random.nextLong());
            shadow = old;
            nextRotation = now + ROTATION_US;
        }
    }

    /** The probability that a request of the tenant is refused: the minimum over the levels. */
    double refusalProbability(int tenant, long now) {
        return live.min(tenant, now);
    }

    /** Recent observations, for the status line in the log. */
    String statusText() {
        return "consecutive failures "
                + (long) failureStreak
                + ", failure share "
                + Math.round(100 * failureShare)
                + "%, answers indicating queueing "
                + Math.round(100 * queueingShare)
                + "%";
    }

    /** Counts an answer and its latency; {@code served} is false if the node was overloaded. */
    void recordAnswer(boolean served, long latencyUs, long targetUs, long now) {
        boolean queued = !served || latencyUs > QUEUEING_FRACTION * targetUs;
        queueingShare += ((queued ? 1 : 0) - queueingShare) * sampleWeight(queueingShareAt, now);
        queueingShareAt = now;
    }

    /**
     * Counts an attempt that failed, succeeded ({@code ok}), or neither. {@code othersShare}: the part of a
     * failure that others are to blame for; {@code reported}: the node reported the failure, instead of being
     * silent or late.
     */
    void recordOutcome(
            OpenRequest r,
            boolean failed,
            boolean ok,
            boolean fromOrigin,
            double othersShare,
            boolean reported,
            long now) {
        failureStreak =
                fromOrigin ? failureStreak : failed ? failureStreak + 1 : ok ? 0 : failureStreak;
        double tenantShare = 1 - Math.max(0, othersShare);
        if (!reported) {
            // without queueing, silence is no lack of capacity
            tenantShare *= Math.min(1, queueingShare / QUEUEING_CERTAIN);
        }
        // if nothing succeeds at all, neither single nodes nor the network are to blame
        tenantShare =
                Math.max(
                        tenantShare,
                        Math.min(1, failureStreak / (STREAK_UNIT * STREAK_FACTOR_MAX)));
        if (failed || ok) {
            updateDecay(failed ? tenantShare : 0, now);
        }
        step(r, failed, ok, tenantShare, now);
    }

    /** Decay: slow while requests fail or answers indicate queueing, fast once neither is the case. */
    private void updateDecay(double failureSample, long now) {
        failureShare += (failureSample - failureShare) * sampleWeight(failureShareAt, now);
        failureShareAt = now;
        double pressure =
                Math.max(failureShare / SLOW_DECAY_FAILURES, queueingShare / SLOW_DECAY_QUEUEING);
        double decayUs = Math.max(DECAY_MIN_US, DECAY_MAX_US * Math.min(1, pressure));
        decayUs *= Math.min(STREAK_DECAY_MAX, 1 + failureStreak / STREAK_UNIT);
        live.setDecayUs(decayUs);
        shadow.setDecayUs(decayUs);
    }

    /** The weight of a new sample in a moving average whose previous sample came at {@code since}. */
    private double sampleWeight(long since, long now) {
        double periodUs =
                Math.max(
                        AVERAGE_MIN_US,
                        Math.min(AVERAGE_MAX_US, AVERAGE_REQUESTS / demand.rate(now) * 1e6));
        return 1 - Math.exp((since - now) / periodUs);
    }

    /** Applies FAIR's steps to the live and the shadow table; a request counts as one failure at most. */
    private void step(
            OpenRequest r, boolean failure, boolean success, double tenantShare, long now) {
        if (failure ? r.blamed : !success) {
            return;
        }
        r.blamed |= failure;
        double step =
                Math.min(PI_MAX, 1 / (demand.admittedRate(r.tenant, now) * SATURATION_S + 1e-9));
        step *= failure ? quotaFactor(r.tenant, now) * tenantShare : -PD_FRACTION;
        live.add(r.tenant, step, BlueTable.PROBABILITY_MAX, now);
        shadow.add(r.tenant, step, BlueTable.PROBABILITY_MAX, now);
    }

    /**
     * Cache flushes and slowdowns fail requests of all tenants. A tenant is blamed by how far it exceeds
     * its quota compared with the mean request here, so that within one proxy tenants beyond their quota
     * are refused first.
     */
    private double quotaFactor(int tenant, long now) {
        double mean = demand.meanRatio();
        double ratio = demand.quotaRatio(tenant, now) / Math.max(1e-3, mean);
        double load = Math.min(1, mean);
        double excessStreak = Math.max(0, failureStreak - STREAK_UNIT * (1 - load));
        double certainty = Math.min(STREAK_FACTOR_MAX, excessStreak / STREAK_UNIT);
        return Math.min(QUOTA_FACTOR_MAX, ratio * ratio) * Math.max(load * load, certainty);
    }
}
