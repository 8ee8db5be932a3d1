package holdproxy.daemon;

import holdproxy.consensus.StateMachine;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.Publication;
import holdproxy.lease.LeaseTable;
import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of a fleet's consensus group: the lease table and the log of published changes. A
 * publication carries the fencing token of the publisher lease; every member refuses a publication whose
 * token is older than the last one granted.
 *
 * <p>Operations on the change log are marked, those on leases are not, so that Raft logs and snapshots
 * written before there was a change log can still be read.
 */
final class ReplicatedState implements StateMachine {
    /** Role whose holder alone appends to the change log. */
    static final String PUBLISHER_ROLE = "publisher";

    /** Marks operations on the change log and its parts of a snapshot. */
    private static final String CHANGES_MARK = "changes";

    /** Even with one more value a part stays below a quarter of a frame between members. */
    private static final int SNAPSHOT_PART_BYTES = 128 << 10;

    private final LeaseTable leases;
    private final ChangeLog changes;
    private Runnable listener = () -> {};

    ReplicatedState(LeaseTable leases, ChangeLog changes) {
        this.leases = leases;
        this.changes = changes;
    }

    /** Sets a callback that runs after each operation on the change log and after a restore. */
    void onChange(Runnable changed) {
        listener = changed;
    }

    LeaseTable leases() {
        return leases;
    }

    ChangeLog changes() {
        return changes;
    }

    /** Operation that appends a publication; {@link ChangeLogOperations#decodeResult} decodes its answer. */
    static List<Object> append(Publication publication) {
        return List.of(CHANGES_MARK, ChangeLogOperations.append(publication));
    }

    /**
     * The operation that gives an empty log its epoch; {@link ChangeLogOperations#decodeResult} decodes its
     * answer.
     */
    static List<Object> found(long epoch) {
        return List.of(CHANGES_MARK, ChangeLogOperations.initialize(epoch));
    }

    private static boolean isMarked(Object value) {
        return value instanceof List<?> parts
                && parts.size() == 2
                && CHANGES_MARK.equals(parts.get(0));
    }

    @Override
    public Object apply(long index, Object operation) {
        if (isMarked(operation)) {
            Object answer = ChangeLogOperations.apply(changes, ((List<?>) operation).get(1));
            listener.run();
            return answer;
        }
        Object answer = leases.apply(index, operation);
        changes.fence(leases.lastToken(PUBLISHER_ROLE));
        return answer;
    }

    @Override
    public Object answerWithoutReplication(Object operation) {
        return isMarked(operation) ? null : leases.answerWithoutReplication(operation);
    }

    @Override
    public void clear() {
        leases.clear();
        changes.clear();
    }

    @Override
    public List<Object> snapshot() {
        List<Object> parts = new ArrayList<>(leases.snapshot());
        changes.snapshot(SNAPSHOT_PART_BYTES)
                .forEach(part -> parts.add(List.of(CHANGES_MARK, part)));
        return parts;
    }

    @Override
    public void restore(List<Object> parts) {
        List<Object> leaseParts = new ArrayList<>();
        List<Object> changeParts = new ArrayList<>();
        for (Object part : parts) {
            if (isMarked(part)) {
                changeParts.add(((List<?>) part).get(1));
            } else {
                leaseParts.add(part);
            }
        }
        leases.restore(leaseParts);
        changes.restore(changeParts);
        changes.fence(leases.lastToken(PUBLISHER_ROLE));
        listener.run();
    }
}
