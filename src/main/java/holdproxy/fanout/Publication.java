package holdproxy.fanout;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a publisher asks the log to append.
 *
 * @param token fencing token of the publisher's lease
 * @param id the publisher's own identifier, by which a repeated attempt is recognized
 * @param puts values by key
 * @param deletes keys to remove; none of those that get a value
 */
public record Publication(
        long token, String id, SortedMap<String, Value> puts, SortedSet<String> deletes) {
    public Publication {
        puts = Collections.unmodifiableSortedMap(new TreeMap<>(puts));
        deletes = Collections.unmodifiableSortedSet(new TreeSet<>(deletes));
    }
}
