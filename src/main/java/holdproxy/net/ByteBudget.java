package holdproxy.net;

/** A memory budget, in bytes, that all connections share for one purpose. */
final class ByteBudget {
    private final long limitBytes;
    private long reservedBytes;

    ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves this many bytes if they are available; returns whether it did. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
