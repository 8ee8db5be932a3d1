package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** The most recent consecutive changes of one epoch, bounded by count and bytes. */
final class ChangeWindow {
    /**
     * Dropped entries are removed from the list once there are at least this many and more of them
     * than entries still kept.
     */
    private static final int LEAST_CLEARED = 64;

    /** A change, and the total size of all changes from the last reset up to and including it. */
    private record Entry(Change change, long bytesUpTo) {}

    private final int mostChanges;
    private final int mostBytes;
    private final List<Entry> entries = new ArrayList<>();

    /** Index of the first entry still kept. */
    private int first;

    /** The position before the first change still kept. */
    private Position base = Position.NONE;

    private long bytesBefore;
    private long bytesUpToNewest;

    ChangeWindow(FanoutSettings.Limits limits) {
        mostChanges = limits.windowChanges();
        mostBytes = limits.windowBytes();
    }

    /** Removes all changes; the window continues from this position. */
    void reset(Position position) {
        entries.clear();
        first = 0;
        base = position;
        bytesBefore = 0;
        bytesUpToNewest = 0;
    }

    Position newest() {
        return base.plus(size());
    }

    int size() {
        return entries.size() - first;
    }

    long bytes() {
        return bytesUpToNewest - bytesBefore;
    }

    List<Change> all() {
        return after(base, Integer.MAX_VALUE);
    }

    /** Adds a change; one that does not follow the newest replaces all earlier ones. */
    void add(Change change) {
        if (!change.predecessor().equals(newest())) {
            reset(change.predecessor());
        }
        bytesUpToNewest += change.sizeBytes();
        entries.add(new Entry(change, bytesUpToNewest));
        while (size() > mostChanges || bytes() > mostBytes) {
            dropFirst();
        }
        if (first >= LEAST_CLEARED && first > size()) {
            entries.subList(0, first).clear();
            first = 0;
        }
    }

    private void dropFirst() {
        Entry dropped = entries.set(first, null);
        first++;
        base = dropped.change.position();
        bytesBefore = dropped.bytesUpTo;
    }

    /** Whether the window holds every change after this position (also if there is none). */
    boolean covers(Position held) {
        return held.epoch() == base.epoch()
                && held.number() >= base.number()
                && held.number() <= newest().number();
    }

    /** Total size of the changes after a position that the window covers. */
    long bytesAfter(Position held) {
        int index = indexAfter(held);
        return bytesUpToNewest - (index == first ? bytesBefore : entries.get(index - 1).bytesUpTo);
    }

    /**
     * Returns the changes after a position that the window covers: as many as fit within this many
     * bytes, but at least one if there is any.
     */
    List<Change> after(Position held, int withinBytes) {
        List<Change> result = new ArrayList<>();
        long size = 0;
        for (int i = indexAfter(held); i < entries.size(); i++) {
            Change change = entries.get(i).change;
            size += change.sizeBytes();
            if (!result.isEmpty() && size > withinBytes) {
                break;
            }
            result.add(change);
        }
        return result;
    }

    private int indexAfter(Position held) {
        return first + (int) (held.number() - base.number());
    }
}
