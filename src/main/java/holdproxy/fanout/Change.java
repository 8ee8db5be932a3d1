package holdproxy.fanout;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One step of the history: keys that get a value and keys that are removed, all of them or none. A change
 * without keys leaves the state as it is.
 *
 * @param position after this change
 * @param puts values by key
 * @param deletes keys that are removed; one that does not exist is no error
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

    /** An upper bound of its bytes on the wire, by which windows and credits are counted. */
    public int sizeBytes() {
        return SizeEstimate.ofChange(puts, deletes);
    }
}
