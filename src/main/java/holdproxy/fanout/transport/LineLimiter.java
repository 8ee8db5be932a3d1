package holdproxy.fanout.transport;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Limits the rate of log lines, and logs how many were suppressed. */
final class LineLimiter implements Consumer<String> {
    static final int LINES_PER_SECOND = 20;
    private static final long SECOND_US = 1_000_000;

    private final Consumer<String> log;
    private final LongSupplier nowUs;
    private long secondBeganUs = Long.MIN_VALUE / 2;
    private int lines;
    private long heldBack;

    LineLimiter(Consumer<String> log, LongSupplier nowUs) {
        this.log = log;
        this.nowUs = nowUs;
    }

    @Override
    public void accept(String line) {
        long now = nowUs.getAsLong();
        if (now - secondBeganUs >= SECOND_US) {
            if (heldBack > 0) {
                log.accept(heldBack + " further log lines were suppressed");
            }
            secondBeganUs = now;
            lines = 0;
            heldBack = 0;
        }
        if (lines < LINES_PER_SECOND) {
            lines++;
            log.accept(line);
        } else {
            heldBack++;
        }
    }
}
