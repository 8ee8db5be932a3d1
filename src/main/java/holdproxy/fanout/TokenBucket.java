package holdproxy.fanout;

/** Token bucket that limits bytes per second, with a burst allowance. */
final class TokenBucket {
    private static final double US_PER_SECOND = 1e6;

    private final double bytesPerUs;
    private final double burst;
    private double tokens;
    private long lastRefillUs;

    TokenBucket(long bytesPerSecond, int burst, long nowUs) {
        bytesPerUs = bytesPerSecond / US_PER_SECOND;
        this.burst = burst;
        tokens = burst;
        lastRefillUs = nowUs;
    }

    /** Takes this many tokens, or none and returns false if fewer are available. */
    boolean take(long nowUs, int bytes) {
        tokens = Math.min(burst, tokens + (nowUs - lastRefillUs) * bytesPerUs);
        lastRefillUs = nowUs;
        if (tokens < bytes) {
            return false;
        }
        tokens -= bytes;
        return true;
    }

    /** Time at which this many tokens will be available, as of the last {@link #take}. */
    long availableUs(int bytes) {
        return lastRefillUs + (long) Math.ceil(Math.max(0, bytes - tokens) / bytesPerUs);
    }
}
