package holdproxy.fanout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** The last changes of one epoch without a gap, bounded by count and bytes. */
final class ChangeWindow {
    private final int mostChanges;
    private final int mostBytes;
    private final ArrayDeque<Change> changes = new ArrayDeque<>();

    /** The position before the first change that is kept. */
    private Position base = Position.NONE;

    private long bytes;

    ChangeWindow(FanoutSettings.Limits limits) {
        mostChanges = limits.windowChanges();
        mostBytes = limits.windowBytes();
    }

    /** Empty, at this position. */
    void reset(Position position) {
        changes.clear();
        bytes = 0;
        base = position;
    }

    Position newest() {
        return changes.isEmpty() ? base : changes.peekLast().position();
    }

    /** The oldest position from which all changes are there. */
    Position base() {
        return base;
    }

    int size() {
        return changes.size();
    }

    long bytes() {
        return bytes;
    }

    List<Change> all() {
        return List.copyOf(changes);
    }

    /** One that does not follow the newest leaves only itself. */
    void add(Change change) {
        if (!change.predecessor().equals(newest())) {
            reset(change.predecessor());
        }
        changes.add(change);
        bytes += change.sizeBytes();
        while (changes.size() > mostChanges || bytes > mostBytes) {
            Change dropped = changes.removeFirst();
            bytes -= dropped.sizeBytes();
            base = dropped.position();
        }
    }

    /** Whether all changes after this position are there (also where there are none). */
    boolean covers(Position held) {
        return held.epoch() == base.epoch()
                && held.number() >= base.number()
                && held.number() <= newest().number();
    }

    /** Those after a position that it covers, as many as fit in so many bytes and at least one if there is one. */
    List<Change> after(Position held, int withinBytes) {
        List<Change> result = new ArrayList<>();
        long size = 0;
        for (Iterator<Change> each = iteratorAfter(held); each.hasNext(); ) {
            Change change = each.next();
            size += change.sizeBytes();
            if (!result.isEmpty() && size > withinBytes) {
                break;
            }
            result.add(change);
        }
        return result;
    }

    /** From whichever end is nearer: those who are up to date ask for the last few. */
    private Iterator<Change> iteratorAfter(Position held) {
        long wanted = newest().number() - held.number();
        if (wanted > changes.size() / 2) {
            Iterator<Change> forward = changes.iterator();
            for (long skip = held.number() - base.number(); skip > 0; skip--) {
                forward.next();
            }
            return forward;
        }
        ArrayDeque<Change> last = new ArrayDeque<>();
        Iterator<Change> backward = changes.descendingIterator();
        for (long i = 0; i < wanted; i++) {
            last.addFirst(backward.next());
        }
        return last.iterator();
    }
}
