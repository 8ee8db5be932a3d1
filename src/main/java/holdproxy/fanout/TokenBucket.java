package holdproxy.fanout;

/** Paces bytes: so many a second, and so many at once after a pause. */
final class TokenBucket {
    private static final double US_PER_SECOND = 1e6;

    private final double bytesPerUs;
    private final double burst;
    private double tokens;
    private long filledUs;

    TokenBucket(long bytesPerSecond, int burst, long nowUs) {
        bytesPerUs = bytesPerSecond / US_PER_SECOND;
        this.burst = burst;
        tokens = burst;
        filledUs = nowUs;
    }

    /** Takes as many where there are as many. */
    boolean take(long nowUs, int bytes) {
        tokens = Math.min(burst, tokens + (nowUs - filledUs) * bytesPerUs);
        filledUs = nowUs;
        if (tokens < bytes) {
            return false;
        }
        tokens -= bytes;
        return true;
    }

    /** When there will be as many, as of the last attempt to take some. */
    long availableUs(int bytes) {
        return filledUs + (long) Math.ceil(Math.max(0, bytes - tokens) / bytesPerUs);
    }
}
