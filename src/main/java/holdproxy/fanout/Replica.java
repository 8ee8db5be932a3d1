package holdproxy.fanout;

import java.util.List;
import java.util.SortedMap;

/**
 * The state at a position and the window of changes that led there. Its owner is a {@link ChangeLog} or a
 * {@link Subscriber}; others read it, by the owner's thread.
 */
public final class Replica {
    private final KeyedState state = new KeyedState();
    private final ChangeWindow window;

    /** An empty replica, whose window is bounded by these limits. */
    public Replica(FanoutSettings.Limits limits) {
        window = new ChangeWindow(limits);
    }

    /** A replica with what was kept of an earlier one. */
    public static Replica restored(
            FanoutSettings.Limits limits, Position position, SortedMap<String, Value> entries) {
        Replica replica = new Replica(limits);
        replica.reset(position, entries);
        return replica;
    }

    /** {@link Position#NONE} as long as it holds nothing. */
    public Position position() {
        return state.position();
    }

    /** What it holds now; changes with it and cannot be changed by others. */
    public SortedMap<String, Value> entries() {
        return state.entries();
    }

    /** Of all keys and values, by their upper bound on the wire. */
    public int stateBytes() {
        return state.bytes();
    }

    /** Changes that the window keeps. */
    public int windowChanges() {
        return window.size();
    }

    /** Bytes of the changes that the window keeps. */
    public long windowBytes() {
        return window.bytes();
    }

    /** Whether the window has all changes after this position. */
    public boolean covers(Position held) {
        return window.covers(held);
    }

    /**
     * Changes after a position that is covered, as many as fit in so many bytes and at least one if
     * there is one.
     */
    public List<Change> after(Position held, int withinBytes) {
        return window.after(held, withinBytes);
    }

    /** Of all changes after a position that is covered. */
    public long bytesAfter(Position held) {
        return window.bytesAfter(held);
    }

    ChangeWindow window() {
        return window;
    }

    KeyedState state() {
        return state;
    }

    void apply(Change change) {
        state.apply(change);
        window.add(change);
    }

    void reset(Position position, SortedMap<String, Value> entries) {
        state.reset(position, entries);
        window.reset(position);
    }
}
