package holdproxy.net;

import io.netty.util.concurrent.Ticker;
import java.util.function.LongSupplier;

/**
 * The only source of time: the ticker of the event loop's timers, and a wall clock that is read once. Both
 * are passed in, so that tests and simulations can control them.
 */
public final class Clock {
    private final Ticker ticker;
    private final long originNs;
    private final long unixAtOriginUs;

    /** {@code ticker}: that of the event loop; {@code unixMs}: the wall clock. */
    public Clock(Ticker ticker, LongSupplier unixMs) {
        this.ticker = ticker;
        originNs = ticker.nanoTime();
        unixAtOriginUs = unixMs.getAsLong() * 1000;
    }

    /** Uses the system's clocks. */
    static Clock system() {
        return new Clock(Ticker.systemTicker(), System::currentTimeMillis);
    }

    /** Monotonic microseconds since this object was created: the router's clock. */
    long nowUs() {
        return (ticker.nanoTime() - originNs) / 1000;
    }

    /** Unix time, from that clock and the one reading of the wall clock. */
    long unixMs() {
        return (unixAtOriginUs + nowUs()) / 1000;
    }

    /**
     * Converts a Unix time to that clock. As the wall clock is read once, a node's start time always
     * converts to the same value.
     */
    long monotonicUs(long unixMs) {
        return unixMs * 1000 - unixAtOriginUs;
    }
}
