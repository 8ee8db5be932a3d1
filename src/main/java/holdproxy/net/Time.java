package holdproxy.net;

import io.netty.util.concurrent.Ticker;
import java.util.function.LongSupplier;

/**
 * The one place where time enters: the ticker that the event loop's timers go by, and a wall clock that is
 * read once. Handed in, both can be driven by hand.
 */
public final class Time {
    private final Ticker ticker;
    private final long originNs;
    private final long unixAtOriginUs;

    /** {@code ticker}: the event loop's; {@code unixMs}: the wall clock, in milliseconds since 1970. */
    public Time(Ticker ticker, LongSupplier unixMs) {
        this.ticker = ticker;
        originNs = ticker.nanoTime();
        unixAtOriginUs = unixMs.getAsLong() * 1000;
    }

    /** The system's clocks. */
    static Time system() {
        return new Time(Ticker.systemTicker(), System::currentTimeMillis);
    }

    /** Microseconds since this was made, never going back: the module's clock. */
    long us() {
        return (ticker.nanoTime() - originNs) / 1000;
    }

    /** Unix time by that clock and the one reading of the wall clock, in milliseconds. */
    long unixMs() {
        return (unixAtOriginUs + us()) / 1000;
    }

    /** A Unix time on that clock; from one reading, so that a start stays the same number. */
    long monotonicUs(long unixMs) {
        return unixMs * 1000 - unixAtOriginUs;
    }
}
