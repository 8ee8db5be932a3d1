package holdproxy.policy;

/**
 * The request rates at this proxy, in total and per tenant, also relative to the tenants' quotas. It only
 * counts. Times are in microseconds.
 */
final class RequestRates {
    // Rates are averaged over about this time.
    static final double AVERAGING_US = 10e6;
    // Requests added to both sides of a quota ratio, for the uncertainty of small counts.
    static final double QUOTA_SMOOTHING_REQUESTS = 3;
    static final double RATIO_LEARNING_RATE = 1.0 / 64;

    private final long startedAt;
    private final DecayingValue allArrivals = new DecayingValue(AVERAGING_US);
    private DecayingValue[] arrivals = DecayingValue.array(0, AVERAGING_US);
    private DecayingValue[] admissions = DecayingValue.array(0, AVERAGING_US);
    private Router.Settings activeSettings;
    private double meanRatio;
    private long ratioSamples;

    RequestRates(long now) {
        startedAt = now;
    }

    void applySettings(Router.Settings applySettings) {
        activeSettings = applySettings;
        arrivals =
                DecayingValue.extended(
                        arrivals, Math.max(1, activeSettings.tenants.length), AVERAGING_US);
        admissions = DecayingValue.extended(admissions, arrivals.length, AVERAGING_US);
    }

    /** The index of the tenant's counters; an unknown tenant is counted with the first. */
    int tenantIndex(int index) {
        return index >= 0 && index < arrivals.length ? index : 0;
    }

    /** Counts a request that has arrived. */
    void countArrival(int tenant, boolean repeat, long now) {
        if (!repeat) {
            arrivals[tenant].count(now); // a repeat after a refusal is not additional demand
        }
        // The first samples have equal weights: started from 1, the mean would for long be far from
        // what any tenant sends.
        meanRatio +=
                (quotaRatio(tenant, now) - meanRatio)
                        * Math.max(RATIO_LEARNING_RATE, 1.0 / ++ratioSamples);
        allArrivals.count(now);
    }

    /** Counts an admitted request. */
    void countAdmission(int tenant, long now) {
        admissions[tenant].count(now);
    }

    /** Requests per second at this proxy. */
    double rate(long now) {
        return rate(allArrivals, now);
    }

    /** Admitted requests per second of a tenant. */
    double admittedRate(int tenant, long now) {
        return rate(admissions[tenant], now);
    }

    /** Events per second; after a start over the time that has passed, but over 1 s at least. */
    private double rate(DecayingValue counted, long now) {
        return counted.get(now)
                / (AVERAGING_US * (1 - Math.exp((startedAt - now) / AVERAGING_US)) + 1e6)
                * 1e6;
    }

    /**
     * Total demand relative to the sum of all quotas, which stands for the fleet's capacity; 1 without
     * quotas.
     */
    double demandOverQuotas(long now) {
        double quota = 0;
        double demanded = 0;
        for (int i = 0; i < activeSettings.tenants.length; i++) {
            quota += activeSettings.tenants[i].quotaPerS;
            demanded += rate(arrivals[i], now);
        }
        return quota <= 0 ? 1 : demanded * activeSettings.routers / quota;
    }

    /** A tenant's demand here relative to this proxy's part of its quota. */
    double quotaRatio(int tenant, long now) {
        if (tenant >= activeSettings.tenants.length
                || activeSettings.tenants[tenant].quotaPerS <= 0) {
            return 1;
        }
        double quotaHere =
                activeSettings.tenants[tenant].quotaPerS
                        / activeSettings.routers
                        * AVERAGING_US
                        / 1e6;
        return (arrivals[tenant].get(now) + QUOTA_SMOOTHING_REQUESTS)
                / (quotaHere + QUOTA_SMOOTHING_REQUESTS);
    }

    /** The mean of {@link #quotaRatio} over the requests at this proxy. */
    double meanRatio() {
        return meanRatio;
    }
}
