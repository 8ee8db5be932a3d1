package holdproxy.scale;

import holdproxy.fanout.Change;
import holdproxy.fanout.Position;
import java.util.List;

/**
 * Whether what a proxy is offered is the history: each state newer than the one before, each change
 * right after its predecessor. Only a snapshot, which comes without changes, may leave some out.
 */
final class DeliveryCheck {
    private Position last = Position.NONE;

    /** Of the state that was offered last. */
    Position last() {
        return last;
    }

    /** Takes what was offered; false where it is not what had to follow. */
    boolean follows(Position position, List<Change> changes) {
        Position next = last;
        boolean follows = position.isAfter(last);
        for (Change change : changes) {
            follows &= change.position().equals(next.next());
            next = change.position();
        }
        follows &= changes.isEmpty() || next.equals(position);
        last = position;
        return follows;
    }
}
