package holdproxy.scale;

import holdproxy.fanout.Change;
import holdproxy.fanout.Position;
import java.util.List;

/**
 * Checks the updates that are offered to a proxy: each state must be newer than the one before, and each
 * change must directly follow its predecessor. Only a snapshot, which comes without changes, may skip some.
 */
final class DeliveryCheck {
    private Position last = Position.NONE;

    /** Position of the last state offered. */
    Position last() {
        return last;
    }

    /** Records an update; false if it does not correctly follow the one before. */
    boolean accept(Position position, List<Change> changes) {
        Position next = last;
        boolean valid = position.isAfter(last);
        for (Change change : changes) {
            valid &= change.position().equals(next.next());
            next = change.position();
        }
        valid &= changes.isEmpty() || next.equals(position);
        last = position;
        return valid;
    }
}
