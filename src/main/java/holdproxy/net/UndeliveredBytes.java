package holdproxy.net;

/**
 * Estimates how much of what was written to a connection its peer may not have received yet. The system does
 * not tell; it holds up to a full send buffer, of which a peer takes at least {@link #MIN_BYTES_PER_S}.
 */
final class UndeliveredBytes {
    /** The slowest peer that is waited for. */
    static final int MIN_BYTES_PER_S = 16 * 1024;

    private static final long US_PER_S = 1_000_000;

    /** What the system holds for one connection at most. */
    private final int capacity;

    private long estimate;
    private long estimatedAtUs;

    UndeliveredBytes(int capacity) {
        this.capacity = capacity;
    }

    /** So many bytes were written to the connection. */
    void written(int bytes, long nowUs) {
        set(atMost(nowUs) + bytes, nowUs);
    }

    /** The system took no more of what was written: its buffer is full. */
    void full(long nowUs) {
        set(capacity, nowUs);
    }

    private void set(long bytes, long nowUs) {
        estimate = Math.min(capacity, bytes);
        estimatedAtUs = nowUs;
    }

    private long atMost(long nowUs) {
        long taken = (nowUs - estimatedAtUs) * MIN_BYTES_PER_S / US_PER_S;
        return Math.max(0, estimate - taken);
    }

    /** How long the peer needs at most to receive it all, in milliseconds. */
    long deliveryMs(long nowUs) {
        return atMost(nowUs) * 1000 / MIN_BYTES_PER_S;
    }
}
