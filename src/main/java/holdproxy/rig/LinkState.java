package holdproxy.rig;

/**
 * What is wrong with a link in one direction. A relay takes another one as it is told, for what it reads from
 * then on.
 *
 * @param cut nothing gets through, and nobody is told; what is read is gone and leaves its connection holed
 * @param unread nothing is read: what is sent waits with its sender, as with a process that stands still
 * @param delayMs what everything takes more, in milliseconds
 * @param jitterMs what chance adds to that, evenly from 0 to this
 * @param growthMs what each further second of this state adds to the delay
 * @param bytesPerS how much gets through in a second; 0: as much as comes
 * @param tearAfter after so many bytes of a connection it is reset, whatever they belong to; 0: never
 */
public record LinkState(
        boolean cut,
        boolean unread,
        int delayMs,
        int jitterMs,
        int growthMs,
        int bytesPerS,
        int tearAfter) {
    /** Nothing is wrong. */
    public static final LinkState SOUND = new LinkState(false, false, 0, 0, 0, 0, 0);

    public static final LinkState CUT = new LinkState(true, false, 0, 0, 0, 0, 0);
    public static final LinkState UNREAD = new LinkState(false, true, 0, 0, 0, 0, 0);

    public LinkState {
        if (delayMs < 0 || jitterMs < 0 || growthMs < 0 || bytesPerS < 0 || tearAfter < 0) {
            throw new IllegalArgumentException("a link's figures are not below 0");
        }
    }

    /** Delays data by a fixed, a random and a growing part, in milliseconds. */
    public static LinkState delayed(int delayMs, int jitterMs, int growthMs) {
        return new LinkState(false, false, delayMs, jitterMs, growthMs, 0, 0);
    }

    /** Passes on so many bytes a second. */
    public static LinkState throttled(int bytesPerS) {
        return new LinkState(false, false, 0, 0, 0, bytesPerS, 0);
    }

    /** Resets the connection after so many bytes. */
    public static LinkState torn(int afterBytes) {
        return new LinkState(false, false, 0, 0, 0, 0, afterBytes);
    }

    /** Whether what is read can be passed on at once. */
    boolean plain() {
        return delayMs == 0 && jitterMs == 0 && growthMs == 0 && bytesPerS == 0;
    }
}
