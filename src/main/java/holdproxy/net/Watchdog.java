package holdproxy.net;

import java.util.function.Consumer;

/**
 * Reports a stall of the request loop, with its stack trace, from another thread that checks it at regular
 * intervals. If that thread was stalled as well, the whole process was, by the machine or a garbage
 * collection. The loop calls {@link #beat}, the other thread {@link #look}.
 */
final class Watchdog {
    /** A stall from this length on is reported; the console has to answer within 1 s. */
    static final long STILL_US = 700_000;

    private static final int FRAMES = 12;

    private final Thread watched;
    private final Consumer<String> log;
    private volatile long beatUs;
    private long lookedUs;
    private boolean told;

    /** {@code log} is called on the checking thread, as a stalled loop cannot log. */
    Watchdog(Thread watched, long nowUs, Consumer<String> log) {
        this.watched = watched;
        this.log = log;
        beatUs = nowUs;
        lookedUs = nowUs;
    }

    void beat(long nowUs) {
        beatUs = nowUs;
    }

    void look(long nowUs) {
        long gap = nowUs - lookedUs;
        lookedUs = nowUs;
        if (gap > STILL_US) {
            log.accept("the process stood still for " + gap / 1000 + " ms");
            return; // the loop had no chance to run either
        }
        long still = nowUs - beatUs;
        if (still <= STILL_US) {
            told = false;
        } else if (!told) {
            told = true;
            StringBuilder at = new StringBuilder();
            StackTraceElement[] frames = watched.getStackTrace();
            for (int i = 0; i < Math.min(FRAMES, frames.length); i++) {
                at.append(i == 0 ? "" : " < ")
                        .append(frames[i].getClassName())
                        .append('.')
                        .append(frames[i].getMethodName());
            }
            log.accept("the request loop stands still since " + still / 1000 + " ms in " + at);
        }
    }
}
