package holdproxy.fanout;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One step of the history: keys that are set and keys that are removed, applied atomically. A change
 * without keys leaves the state as it is.
 *
 * @param position after this change
 * @param puts values by key
 * @param deletes keys to remove; a key that does not exist is ignored
 */
public record Change(Position position, SortedMap<String, Value> puts, SortedSet<String> deletes) {
    public Change {
        puts = Collections.unmodifiableSortedMap(new TreeMap<>(puts));
        deletes = Collections.unmodifiableSortedSet(new TreeSet<>(deletes));
    }

    /** The position before this change. */
    public Position predecessor() {
        return new Position(position.epoch(), position.number() - 1);
    }

    /** Upper bound of the encoded size, which counts towards windows and credits. */
    public int sizeBytes() {
        return SizeEstimate.ofChange(puts, deletes);
    }
}
