package holdproxy.net;

/** A memory budget, in bytes, that all connections share for one purpose. */
final class Room {
    private final long limitBytes;
    private long reservedBytes;

    Room(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves this many bytes if they are available; returns whether it did. */
    boolean take(int bytes) {
        if (reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void give(int bytes) {
        reservedBytes -= bytes;
    }
}
