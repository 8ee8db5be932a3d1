package holdproxy.net;

/** Bytes that may be held for one purpose, by all connections together. */
final class Room {
    private final long most;
    private long taken;

    Room(long most) {
        this.most = most;
    }

    /** Whether there is room for so many more; then they are taken. */
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
