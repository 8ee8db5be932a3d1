package holdproxy.net;

import java.util.function.Consumer;

/**
 * The log of state changes and errors, to standard error unless a consumer is given. Its rate is limited, so
 * that a burst of errors does not fill the disk.
 */
final class Log {
    private static final int MAX_LINES = 40;
    private static final long WINDOW_US = 10_000_000;

    private final Clock time;
    private final Consumer<String> consumer;
    private long windowStart;
    private int lines;

    Log(Clock time) {
        this(time, null); // linking a method reference would add some milliseconds to the start
    }

    Log(Clock time, Consumer<String> consumer) {
        this.time = time;
        this.consumer = consumer;
        windowStart = time.nowUs();
    }

    void line(String text) {
        long now = time.nowUs();
        if (now - windowStart > WINDOW_US) {
            if (lines > MAX_LINES) {
                out((lines - MAX_LINES) + " log lines suppressed");
            }
            windowStart = now;
            lines = 0;
        }
        if (lines++ < MAX_LINES) {
            out(text);
        }
    }

    private void out(String text) {
        if (consumer == null) {
            System.err.println("holdproxy: " + text);
        } else {
            consumer.accept(text);
        }
    }
}
