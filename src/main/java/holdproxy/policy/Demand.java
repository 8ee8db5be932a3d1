package holdproxy.policy;

/**
 * What is asked for here: requests a second, in all and by tenant, also against the tenants' quotas. It
 * counts and decides nothing. Times in microseconds.
 */
final class Demand {
    // Own rates are counted over about this time.
    static final double RATE_US = 10e6;
    // Quotas: so many requests of doubt on either side.
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

    /** The tenant's place in what is counted; one that is not known counts with the first. */
    int tenant(int index) {
        return index >= 0 && index < asked.length ? index : 0;
    }

    /** A request has come. */
    void asked(int tenant, boolean repeat, long now) {
        if (!repeat) {
            asked[tenant].count(now); // what clients repeat after a refusal is not more demand
        }
        // the first ones count alike: begun from 1, the mean would for long be far from what any
        // tenant sends
        meanRatio +=
                (quotaRatio(tenant, now) - meanRatio) * Math.max(RATIO_LEARN, 1.0 / ++requests);
        all.count(now);
    }

    /** It was let in. */
    void admitted(int tenant, long now) {
        admitted[tenant].count(now);
    }

    /** Requests a second here. */
    double rate(long now) {
        return rate(all, now);
    }

    /** Those of a tenant that were let in. */
    double admittedRate(int tenant, long now) {
        return rate(admitted[tenant], now);
    }

    /** A second; after a start of the time that has passed, and never of less than one. */
    private double rate(Fading counted, long now) {
        return counted.get(now)
                / (RATE_US * (1 - Math.exp((startedAt - now) / RATE_US)) + 1e6)
                * 1e6;
    }

    /** What is asked for over all quotas, which stand for what the fleet can do; 1 where none do. */
    double overQuotas(long now) {
        double quota = 0;
        double wanted = 0;
        for (int i = 0; i < set.tenants.length; i++) {
            quota += set.tenants[i].quotaPerS;
            wanted += rate(asked[i], now);
        }
        return quota <= 0 ? 1 : wanted * set.routers / quota;
    }

    /** What a tenant asks for over its part of its quota. */
    double quotaRatio(int tenant, long now) {
        if (tenant >= set.tenants.length || set.tenants[tenant].quotaPerS <= 0) {
            return 1;
        }
        double due = set.tenants[tenant].quotaPerS / set.routers * RATE_US / 1e6;
        return (asked[tenant].get(now) + QUOTA_DOUBT) / (due + QUOTA_DOUBT);
    }

    /** The same for the mean request here. */
    double meanRatio() {
        return meanRatio;
    }
}
