package holdproxy.daemon;

import holdproxy.console.Figures;
import holdproxy.fanout.Position;
import holdproxy.fanout.Relay;
import java.util.function.LongSupplier;

/** Reports the published state in force and for how long it has not been known to be the newest. */
final class FreshnessReporter {
    /** Interval at which {@link #update} is to be called. */
    static final int UPDATE_INTERVAL_MS = 1_000;

    /** A state that has not been known to be the newest for this long is reported as stale. */
    static final long STALE_AFTER_US = 30_000_000;

    private static final long US_PER_S = 1_000_000;
    private static final long US_PER_MS = 1_000;

    private final Figures figures;
    private final LongSupplier nowUs;
    private final long startUs;
    private boolean stale;

    /** {@code nowUs}: a monotonic clock in microseconds. */
    FreshnessReporter(Figures figures, LongSupplier nowUs) {
        this.figures = figures;
        this.nowUs = nowUs;
        startUs = nowUs.getAsLong();
    }

    /** Updates the figures and logs a change of freshness; {@code ageUs}: see {@link Relay.Source#ageUs}. */
    void update(Position inForce, long ageUs) {
        boolean known = ageUs != Relay.Source.UNKNOWN_AGE_US;
        long unconfirmedUs = known ? ageUs : nowUs.getAsLong() - startUs;
        figures.setPublished(inForce.epoch(), inForce.number(), known ? ageUs / US_PER_S : -1);
        boolean nowStale = unconfirmedUs >= STALE_AFTER_US;
        if (nowStale != stale) {
            stale = nowStale;
            EventLog.event(
                    nowStale ? "published state is stale" : "published state is fresh",
                    "epoch",
                    inForce.epoch(),
                    "number",
                    inForce.number(),
                    "age_ms",
                    known ? ageUs / US_PER_MS : -1);
        }
    }
}
