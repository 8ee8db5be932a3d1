package holdproxy.net;

import java.util.function.Consumer;

/**
 * Says where the request loop stands when it stands still, from another thread that looks at even intervals;
 * and whether that one stood still as well, which is then the machine's doing or the collector's. Times in
 * microseconds. {@link #beat} is the loop's, {@link #look} the other thread's.
 */
final class Watchdog {
    /** Callers of the console are owed an answer within 1 s; a loop that is this late is news. */
    static final long STILL_US = 700_000;

    private static final int FRAMES = 12;

    private final Thread watched;
    private final Consumer<String> log;
    private volatile long beatUs;
    private long lookedUs;
    private boolean told;

    /** {@code log} takes its lines on the looking thread, as the loop takes none while it stands still. */
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
            return; // of the loop nothing can be said yet
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
