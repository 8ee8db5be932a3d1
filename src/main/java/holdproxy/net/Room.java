package holdproxy.net;

/** A memory budget, in bytes, that all connections share for one purpose. */
final class Room {
    private final long most;
    private long taken;

    Room(long most) {
        this.most = most;
    }

    /** Reserves this many bytes if they are available; returns whether it did. */
    boolean take(int bytes) {
        if (taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    void give(int bytes) {
        taken -= bytes;
    }
}
