package holdproxy.fanout;

import java.util.Comparator;

/**
 * A position in the history of changes.
 *
 * @param epoch identifies the log, 0 for none; a log that is re-created gets a higher epoch
 * @param number of the last change included, 0 before the first
 */
public record Position(long epoch, long number) implements Comparable<Position> {
    /** The position of a process that has never received anything. */
    public static final Position NONE = new Position(0, 0);

    private static final Comparator<Position> ORDER =
            Comparator.comparingLong(Position::epoch).thenComparingLong(Position::number);

    public Position {
        if (epoch < 0 || number < 0) {
            throw new IllegalArgumentException(
                    "a position must not be negative: " + epoch + "/" + number);
        }
    }

    /** The position after one more change of the same log. */
    public Position next() {
        return plus(1);
    }

    /** The position after this many more changes of the same log. */
    public Position plus(long changes) {
        return new Position(epoch, number + changes);
    }

    /** Whether this position is later in the history than the other. */
    public boolean isAfter(Position other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Position other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "/" + number;
    }
}
