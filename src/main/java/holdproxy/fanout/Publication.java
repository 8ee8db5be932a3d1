package holdproxy.fanout;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A change that a publisher asks the log to append.
 *
 * @param token fencing token of the publisher's lease
 * @param id chosen by the publisher; a repeated attempt with the same identifier is not appended again
 * @param puts values by key
 * @param deletes keys to remove; must not contain a key of {@code puts}
 */
public record Publication(
        long token, String id, SortedMap<String, Value> puts, SortedSet<String> deletes) {
    public Publication {
        puts = Collections.unmodifiableSortedMap(new TreeMap<>(puts));
        deletes = Collections.unmodifiableSortedSet(new TreeSet<>(deletes));
    }
}
