package holdproxy.emulator;

/** Clock and scheduler of a part of the site: virtual, or a real event loop. Its tasks run one at a time. */
public interface Scheduler {
    /** Microseconds since the site's start; never decreases. */
    long nowUs();

    /** Runs the task after a delay in microseconds, at once if the delay is 0 or less. */
    void schedule(long delayUs, Runnable task);
}
