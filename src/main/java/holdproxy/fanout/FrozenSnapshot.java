package holdproxy.fanout;

import holdproxy.fanout.Message.SnapshotPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable copy of the state at one position, split into parts; shared by any number of subscribers
 * while the state changes.
 */
final class FrozenSnapshot {
    private final Position position;
    private final List<SnapshotPart> parts;
    private final int[] partBytes;

    private FrozenSnapshot(Position position, List<SortedMap<String, Value>> contents) {
        this.position = position;
        parts = new ArrayList<>(contents.size());
        partBytes = new int[contents.size()];
        for (int i = 0; i < partBytes.length; i++) {
            parts.add(new SnapshotPart(position, i, partBytes.length, contents.get(i)));
            partBytes[i] = SizeEstimate.ofEntries(contents.get(i));
        }
    }

    /** Copies the replica, in parts of at most this many bytes (or a single larger entry). */
    static FrozenSnapshot of(Replica replica, int partBytes) {
        List<SortedMap<String, Value>> contents = new ArrayList<>();
        SortedMap<String, Value> part = new TreeMap<>();
        int size = 0;
        for (Map.Entry<String, Value> entry : replica.entries().entrySet()) {
            int entryBytes = SizeEstimate.ofEntry(entry.getKey(), entry.getValue());
            if (!part.isEmpty() && size + entryBytes > partBytes) {
                contents.add(part);
                part = new TreeMap<>();
                size = 0;
            }
            part.put(entry.getKey(), entry.getValue());
            size += entryBytes;
        }
        contents.add(part);
        return new FrozenSnapshot(replica.position(), contents);
    }

    Position position() {
        return position;
    }

    int parts() {
        return partBytes.length;
    }

    SnapshotPart part(int index) {
        return parts.get(index);
    }

    int bytes(int index) {
        return partBytes[index];
    }
}
