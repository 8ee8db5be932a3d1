package holdproxy.policy;

/**
 * The request rates at this proxy, in total and per tenant, also relative to the tenants' quotas. It only
 * counts. Times are in microseconds.
 */
final class Demand {
    // Rates are averaged over about this time.
    static final double RATE_US = 10e6;
    // Requests added to both sides of a quota ratio, for the uncertainty of small counts.
    static final double QUOTA_DOUBT = 3;
    static final double RATIO_LEARN = 1.0 / 64;

    private final long startedAt;
    private final Fading all = new Fading(RATE_US);
    private Fading[] asked = Fading.array(0, RATE_US);
    private Fading[] admitted = Fading.array(0, RATE_US);
    private Router.Settings set;
    private double meanRatio;
    private long requests;

    Demand(long now) {
        startedAt = now;
    }

    void settings(Router.Settings settings) {
        set = settings;
        asked = Fading.grown(asked, Math.max(1, set.tenants.length), RATE_US);
        admitted = Fading.grown(admitted, asked.length, RATE_US);
    }

    /** The index of the tenant's counters; an unknown tenant is counted with the first. */
    int tenant(int index) {
        return index >= 0 && index < asked.length ? index : 0;
    }

    /** Counts a request that has arrived. */
    void asked(int tenant, boolean repeat, long now) {
        if (!repeat) {
            asked[tenant].count(now); // a repeat after a refusal is not additional demand
        }
        // The first samples have equal weights: started from 1, the mean would for long be far from
        // what any tenant sends.
        meanRatio +=
                (quotaRatio(tenant, now) - meanRatio) * Math.max(RATIO_LEARN, 1.0 / ++requests);
        all.count(now);
    }

    /** Counts an admitted request. */
    void admitted(int tenant, long now) {
        admitted[tenant].count(now);
    }

    /** Requests per second at this proxy. */
    double rate(long now) {
        return rate(all, now);
    }

    /** Admitted requests per second of a tenant. */
    double admittedRate(int tenant, long now) {
        return rate(admitted[tenant], now);
    }

    /** Events per second; after a start over the time that has passed, but over 1 s at least. */
    private double rate(Fading counted, long now) {
        return counted.get(now)
                / (RATE_US * (1 - Math.exp((startedAt - now) / RATE_US)) + 1e6)
                * 1e6;
    }

    /**
     * Total demand relative to the sum of all quotas, which stands for the fleet's capacity; 1 without
     * quotas.
     */
    double overQuotas(long now) {
        double quota = 0;
        double wanted = 0;
        for (int i = 0; i < set.tenants.length; i++) {
            quota += set.tenants[i].quotaPerS;
            wanted += rate(asked[i], now);
        }
        return quota <= 0 ? 1 : wanted * set.routers / quota;
    }

    /** A tenant's demand here relative to this proxy's part of its quota. */
    double quotaRatio(int tenant, long now) {
        if (tenant >= set.tenants.length || set.tenants[tenant].quotaPerS <= 0) {
            return 1;
        }
        double due = set.tenants[tenant].quotaPerS / set.routers * RATE_US / 1e6;
        return (asked[tenant].get(now) + QUOTA_DOUBT) / (due + QUOTA_DOUBT);
    }

    /** The mean of {@link #quotaRatio} over the requests at this proxy. */
    double meanRatio() {
        return meanRatio;
    }
}
