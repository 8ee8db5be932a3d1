package holdproxy.net;

import java.util.function.Consumer;

/**
 * The log of state changes and errors, to standard error unless a consumer is given. Its rate is limited, so
 * that a burst of errors does not fill the disk.
 */
final class Log {
    private static final int MOST = 40;
    private static final long WINDOW_US = 10_000_000;

    private final Time time;
    private final Consumer<String> taker;
    private long windowStart;
    private int lines;

    Log(Time time) {
        this(time, null); // linking a method reference would add some milliseconds to the start
    }

    Log(Time time, Consumer<String> taker) {
        this.time = time;
        this.taker = taker;
        windowStart = time.us();
    }

    void line(String text) {
        long now = time.us();
        if (now - windowStart > WINDOW_US) {
            if (lines > MOST) {
                out((lines - MOST) + " log lines suppressed");
            }
            windowStart = now;
            lines = 0;
        }
        if (lines++ < MOST) {
            out(text);
        }
    }

    private void out(String text) {
        if (taker == null) {
            System.err.println("holdproxy: " + text);
        } else {
            taker.accept(text);
        }
    }
}
