package holdproxy.town;

/** The time that a part of a town goes by: virtual, or a real event loop's. Its tasks run one at a time. */
public interface Timeline {
    /** Microseconds since the town's start, never going back. */
    long nowUs();

    /** Runs this so many microseconds from now, at once where it is none or less. */
    void after(long delayUs, Runnable task);
}
