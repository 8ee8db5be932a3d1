package holdproxy.fanout.transport;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Limits the rate of log lines, and logs how many were suppressed. */
final class LineLimiter implements Consumer<String> {
    static final int LINES_PER_SECOND = 20;
    private static final long SECOND_US = 1_000_000;

    private final Consumer<String> log;
    private final LongSupplier nowUs;
    private long windowStartUs = Long.MIN_VALUE / 2;
    private int linesInWindow;
    private long suppressed;

    LineLimiter(Consumer<String> log, LongSupplier nowUs) {
        this.log = log;
        this.nowUs = nowUs;
    }

    @Override
    public void accept(String line) {
        long now = nowUs.getAsLong();
        if (now - windowStartUs >= SECOND_US) {
            if (suppressed > 0) {
                log.accept(suppressed + " further log lines were suppressed");
            }
            windowStartUs = now;
            linesInWindow = 0;
            suppressed = 0;
        }
        if (linesInWindow < LINES_PER_SECOND) {
            linesInWindow++;
            log.accept(line);
        } else {
            suppressed++;
        }
    }
}
