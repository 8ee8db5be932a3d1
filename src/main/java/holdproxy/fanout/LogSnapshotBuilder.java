package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** Collects snapshot items, each a list that begins with its kind, into parts of bounded size. */
final class LogSnapshotBuilder {
    private static final int ITEM_OVERHEAD = 32;

    private final int partBytes;
    private final List<Object> parts = new ArrayList<>();
    private List<Object> part = new ArrayList<>();
    private long size;

    LogSnapshotBuilder(int partBytes) {
        this.partBytes = partBytes;
    }

    void add(String kind, int bytes, List<?> fields) {
        int itemBytes = bytes + ITEM_OVERHEAD;
        if (!part.isEmpty() && size + itemBytes > partBytes) {
            parts.add(part);
            part = new ArrayList<>();
            size = 0;
        }
        List<Object> item = new ArrayList<>();
        item.add(kind);
        item.addAll(fields);
        part.add(item);
        size += itemBytes;
    }

    List<Object> build() {
        parts.add(part);
        return parts;
    }
}
