package holdproxy.harness;

/**
 * The faults on one direction of a link. A link applies a new state to the bytes that it reads from then on.
 *
 * @param cut bytes are dropped without notice; a connection that has lost bytes passes on nothing more
 * @param unread nothing is read, so that bytes queue at the sender, as if the receiver had stopped
 * @param delayMs added delay, in milliseconds
 * @param jitterMs an additional random delay, uniform from 0 to this, in milliseconds
 * @param growthMs what each second of this state adds to the delay, in milliseconds
 * @param bytesPerS bandwidth limit in bytes per second; 0: no limit
 * @param tearAfter bytes after which a connection is reset, even inside a message; 0: never
 */
public record LinkState(
        boolean cut,
        boolean unread,
        int delayMs,
        int jitterMs,
        int growthMs,
        int bytesPerS,
        int tearAfter) {
    /** No faults. */
    public static final LinkState HEALTHY = new LinkState(false, false, 0, 0, 0, 0, 0);

    public static final LinkState CUT = new LinkState(true, false, 0, 0, 0, 0, 0);
    public static final LinkState UNREAD = new LinkState(false, true, 0, 0, 0, 0, 0);

    public LinkState {
        if (delayMs < 0 || jitterMs < 0 || growthMs < 0 || bytesPerS < 0 || tearAfter < 0) {
            throw new IllegalArgumentException(
                    "link delays, rates and byte counts must not be negative");
        }
    }

    /** A delay with a fixed, a random and a growing part, in milliseconds. */
    public static LinkState delayed(int delayMs, int jitterMs, int growthMs) {
        return new LinkState(false, false, delayMs, jitterMs, growthMs, 0, 0);
    }

    /** A bandwidth limit. */
    public static LinkState throttled(int bytesPerS) {
        return new LinkState(false, false, 0, 0, 0, bytesPerS, 0);
    }

    /** A reset of each connection after this number of bytes. */
    public static LinkState resetAfter(int afterBytes) {
        return new LinkState(false, false, 0, 0, 0, 0, afterBytes);
    }

    /** Whether bytes can be passed on without delay or bandwidth limit. */
    boolean plain() {
        return delayMs == 0 && jitterMs == 0 && growthMs == 0 && bytesPerS == 0;
    }
}
