package holdproxy.fanout;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** The key-value state at a position, with a running total of its size. */
final class KeyedState {
    private Position position = Position.NONE;
    private TreeMap<String, Value> entries = new TreeMap<>();
    private int bytes;

    Position position() {
        return position;
    }

    /** Read-only live view of the entries. */
    SortedMap<String, Value> entries() {
        return Collections.unmodifiableSortedMap(entries);
    }

    /** Total size of keys and values, by the upper bound of their encoding. */
    int bytes() {
        return bytes;
    }

    void apply(Change change) {
        change.deletes().forEach(this::delete);
        change.puts().forEach(this::put);
        position = change.position();
    }

    void reset(Position newPosition, SortedMap<String, Value> newEntries) {
        position = newPosition;
        entries = new TreeMap<>(newEntries);
        bytes = SizeEstimate.ofEntries(entries);
    }

    /** Whether the state would still be within these limits after the change. */
    boolean fits(
            SortedMap<String, Value> puts, Iterable<String> deletes, FanoutSettings.Limits limits) {
        long keysAfter = entries.size();
        long bytesAfter = bytes;
        for (String key : deletes) {
            Value before = puts.containsKey(key) ? null : entries.get(key);
            if (before != null) {
                keysAfter--;
                bytesAfter -= SizeEstimate.ofEntry(key, before);
            }
        }
        for (var put : puts.entrySet()) {
            Value before = entries.get(put.getKey());
            if (before == null) {
                keysAfter++;
            } else {
                bytesAfter -= SizeEstimate.ofEntry(put.getKey(), before);
            }
            bytesAfter += SizeEstimate.ofEntry(put.getKey(), put.getValue());
        }
        return keysAfter <= limits.stateKeys() && bytesAfter <= limits.stateBytes();
    }

    private void put(String key, Value value) {
        delete(key);
        entries.put(key, value);
        bytes += SizeEstimate.ofEntry(key, value);
    }

    private void delete(String key) {
        Value before = entries.remove(key);
        if (before != null) {
            bytes -= SizeEstimate.ofEntry(key, before);
        }
    }
}
