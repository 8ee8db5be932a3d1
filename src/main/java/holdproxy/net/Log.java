package holdproxy.net;

import java.util.function.Consumer;

/**
 * Changes and faults, on standard error where nothing else takes them, so many in a while: a storm of
 * faults must not fill a disk.
 */
final class Log {
    private static final int MOST = 40;
    private static final long WINDOW_US = 10_000_000;

    private final Time time;
    private final Consumer<String> taker;
    private long windowStart;
    private int lines;

    Log(Time time) {
        this(time, null); // no reference to a method: linking one costs a start some milliseconds
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
                out((lines - MOST) + " lines left out");
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
