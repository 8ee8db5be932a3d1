package holdproxy.fanout;

import java.util.List;
import java.util.SortedMap;

/**
 * The state at a position and the window of recent changes that led there. Owned by a {@link ChangeLog} or
 * a {@link Subscriber}; others only read it, on the owner's thread.
 */
public final class Replica {
    private final KeyedState state = new KeyedState();
    private final ChangeWindow window;

    /** Creates an empty replica with a window bounded by these limits. */
    public Replica(FanoutSettings.Limits limits) {
        window = new ChangeWindow(limits);
    }

    /** Creates a replica from the saved position and entries of an earlier one. */
    public static Replica restored(
            FanoutSettings.Limits limits, Position position, SortedMap<String, Value> entries) {
        Replica replica = new Replica(limits);
        replica.reset(position, entries);
        return replica;
    }

    /** {@link Position#NONE} while the replica is empty. */
    public Position position() {
        return state.position();
    }

    /** Read-only live view of the entries. */
    public SortedMap<String, Value> entries() {
        return state.entries();
    }

    /** Total size of keys and values, by the upper bound of their encoding. */
    public int stateBytes() {
        return state.bytes();
    }

    /** Number of changes in the window. */
    public int windowChanges() {
        return window.size();
    }

    /** Total size of the changes in the window. */
    public long windowBytes() {
        return window.bytes();
    }

    /** Whether the window holds every change after this position. */
    public boolean covers(Position held) {
        return window.covers(held);
    }

    /**
     * Returns the changes after a position that the window covers: as many as fit within this many
     * bytes, but at least one if there is any.
     */
    public List<Change> after(Position held, int withinBytes) {
        return window.changesAfter(held, withinBytes);
    }

    /** Total size of the changes after a position that the window covers. */
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
