package holdproxy.net;

import java.util.function.Consumer;

/**
 * Reports a stall of the request loop, with its stack trace, from another thread that checks it at regular
 * intervals. If that thread was stalled as well, the whole process was, by the machine or a garbage
 * collection. The loop calls {@link #beat}, the other thread {@link #check}.
 */
final class Watchdog {
    /** A stall from this length on is reported; the console has to answer within 1 s. */
    static final long STALL_US = 700_000;

    private static final int MAX_FRAMES = 12;

    private final Thread watched;
    private final Consumer<String> log;
    private volatile long lastBeatUs;
    private long lastCheckUs;
    private boolean reported;

    /** {@code log} is called on the checking thread, as a stalled loop cannot log. */
    Watchdog(Thread watched, long nowUs, Consumer<String> log) {
        this.watched = watched;
        this.log = log;
        lastBeatUs = nowUs;
        lastCheckUs = nowUs;
    }

    void beat(long nowUs) {
        lastBeatUs = nowUs;
    }

    void check(long nowUs) {
        long gapUs = nowUs - lastCheckUs;
        lastCheckUs = nowUs;
        if (gapUs > STALL_US) {
            log.accept("the process stood still for " + gapUs / 1000 + " ms");
            return; // the loop had no chance to run either
        }
        long stalledUs = nowUs - lastBeatUs;
        if (stalledUs <= STALL_US) {
            reported = false;
        } else if (!reported) {
            reported = true;
            StringBuilder stack = new StringBuilder();
            StackTraceElement[] frames = watched.getStackTrace();
            for (int i = 0; i < Math.min(MAX_FRAMES, frames.length); i++) {
                stack.append(i == 0 ? "" : " < ")
                        .append(frames[i].getClassName())
                        .append('.')
                        .append(frames[i].getMethodName());
            }
            log.accept(
                    "the request loop stands still since " + stalledUs / 1000 + " ms in " + stack);
        }
    }
}
