package holdproxy.fanout;

import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.ProtocolException.Kind;
import java.util.SortedMap;
import java.util.TreeMap;

/** A partly received snapshot, limited in size like the state. */
final class SnapshotAssembly {
    private final FanoutSettings.Limits limits;
    private final Position position;
    private final int parts;
    private final TreeMap<String, Value> entries = new TreeMap<>();
    private int receivedParts;
    private long bytes;

    SnapshotAssembly(FanoutSettings.Limits limits, SnapshotPart first) {
        this.limits = limits;
        position = first.position();
        parts = first.parts();
    }

    Position position() {
        return position;
    }

    /** Number of parts received so far. */
    int receivedParts() {
        return receivedParts;
    }

    boolean isSameSnapshot(SnapshotPart part) {
        return part.position().equals(position) && part.parts() == parts;
    }

    /** Adds the next part. */
    void add(SnapshotPart part) {
        bytes += SizeEstimate.ofEntries(part.entries());
        entries.putAll(part.entries());
        if (bytes > limits.stateBytes() || entries.size() > limits.stateKeys()) {
            throw new ProtocolException(
                    Kind.TOO_LARGE,
                    "the snapshot at "
                            + position
                            + " exceeds "
                            + limits.stateBytes()
                            + " bytes or "
                            + limits.stateKeys()
                            + " keys");
        }
        receivedParts++;
    }

    boolean isComplete() {
        return receivedParts == parts;
    }

    SortedMap<String, Value> entries() {
        return entries;
    }
}
