package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** The most recent consecutive changes of one epoch, bounded by count and bytes. */
final class ChangeWindow {
    /**
     * Dropped entries are removed from the list once there are at least this many and more of them
     * than entries still kept.
     */
    private static final int MIN_DROPPED_TO_COMPACT = 64;

    /** A change, and the total size of all changes from the last reset up to and including it. */
    private record Entry(Change change, long cumulativeBytes) {}

    private final int maxChanges;
    private final int maxBytes;
    private final List<Entry> entries = new ArrayList<>();

    /** Index of the first entry still kept. */
    private int firstIndex;

    /** The position before the first change still kept. */
    private Position base = Position.NONE;

    private long droppedBytes;
    private long totalBytes;

    ChangeWindow(FanoutSettings.Limits limits) {
        maxChanges = limits.windowChanges();
        maxBytes = limits.windowBytes();
    }

    /** Removes all changes; the window continues from this position. */
    void reset(Position position) {
        entries.clear();
        firstIndex = 0;
        base = position;
        droppedBytes = 0;
        totalBytes = 0;
    }

    Position newest() {
        return base.plus(size());
    }

    int size() {
        return entries.size() - firstIndex;
    }

    long bytes() {
        return totalBytes - droppedBytes;
    }

    List<Change> all() {
        return changesAfter(base, Integer.MAX_VALUE);
    }

    /** Adds a change; one that does not follow the newest replaces all earlier ones. */
    void add(Change change) {
        if (!change.predecessor().equals(newest())) {
            reset(change.predecessor());
        }
        totalBytes += change.sizeBytes();
        entries.add(new Entry(change, totalBytes));
        while (size() > maxChanges || bytes() > maxBytes) {
            dropFirst();
        }
        if (firstIndex >= MIN_DROPPED_TO_COMPACT && firstIndex > size()) {
            entries.subList(0, firstIndex).clear();
            firstIndex = 0;
        }
    }

    private void dropFirst() {
        Entry dropped = entries.set(firstIndex, null);
        firstIndex++;
        base = dropped.change.position();
        droppedBytes = dropped.cumulativeBytes;
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
        return totalBytes
                - (index == firstIndex ? droppedBytes : entries.get(index - 1).cumulativeBytes);
    }

    /**
     * Returns the changes after a position that the window covers: as many as fit within this many
     * bytes, but at least one if there is any.
     */
    List<Change> changesAfter(Position held, int byteLimit) {
        List<Change> result = new ArrayList<>();
        long size = 0;
        for (int i = indexAfter(held); i < entries.size(); i++) {
            Change change = entries.get(i).change;
            size += change.sizeBytes();
            if (!result.isEmpty() && size > byteLimit) {
                break;
            }
            result.add(change);
        }
        return result;
    }

    private int indexAfter(Position held) {
        return firstIndex + (int) (held.number() - base.number());
    }
}
