package holdproxy.daemon;

import holdproxy.consensus.StateMachine;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.Publication;
import holdproxy.lease.LeaseTable;
import java.util.ArrayList;
import java.util.List;

/**
 * What the consensus group of a fleet agrees on: who holds which lease, and the log of published changes.
 * Publications carry the fencing token of the lease {@link #PUBLISHER}; one under an earlier token than that
 * lease was last granted with is refused, alike by every member.
 *
 * <p>Operations on the log are marked, those on leases are not: logs and snapshots of before have no log of
 * changes and are read as they were.
 */
final class ReplicatedState implements StateMachine {
    /** Whose holder alone appends to the log of changes. */
    static final String PUBLISHER = "publisher";

    /** Marks operations on the log of changes, and its parts of a snapshot. */
    private static final String CHANGES = "changes";

    /** With one value more, under a quarter of a frame between members. */
    private static final int SNAPSHOT_PART_BYTES = 128 << 10;

    private final LeaseTable leases;
    private final ChangeLog changes;
    private Runnable listener = () -> {};

    ReplicatedState(LeaseTable leases, ChangeLog changes) {
        this.leases = leases;
        this.changes = changes;
    }

    /** {@code changed} is run after each change of the log. */
    void onChange(Runnable changed) {
        listener = changed;
    }

    LeaseTable leases() {
        return leases;
    }

    ChangeLog changes() {
        return changes;
    }

    /** The operation that appends a publication; its answer is for {@link ChangeLogOperations#result}. */
    static List<Object> append(Publication publication) {
        return List.of(CHANGES, ChangeLogOperations.append(publication));
    }

    /**
     * The operation that gives an empty log its epoch; its answer is for {@link ChangeLogOperations#result}.
     */
    static List<Object> found(long epoch) {
        return List.of(CHANGES, ChangeLogOperations.found(epoch));
    }

    private static boolean isMarked(Object value) {
        return value instanceof List<?> parts && parts.size() == 2 && CHANGES.equals(parts.get(0));
    }

    @Override
    public Object apply(long index, Object operation) {
        if (isMarked(operation)) {
            Object answer = ChangeLogOperations.apply(changes, ((List<?>) operation).get(1));
            listener.run();
            return answer;
        }
        Object answer = leases.apply(index, operation);
        changes.fence(leases.lastToken(PUBLISHER));
        return answer;
    }

    @Override
    public Object atOnce(Object operation) {
        return isMarked(operation) ? null : leases.atOnce(operation);
    }

    @Override
    public void clear() {
        leases.clear();
        changes.clear();
    }

    @Override
    public List<Object> snapshot() {
        List<Object> parts = new ArrayList<>(leases.snapshot());
        changes.snapshot(SNAPSHOT_PART_BYTES).forEach(part -> parts.add(List.of(CHANGES, part)));
        return parts;
    }

    @Override
    public void restore(List<Object> parts) {
        List<Object> ofLeases = new ArrayList<>();
        List<Object> ofChanges = new ArrayList<>();
        for (Object part : parts) {
            if (isMarked(part)) {
                ofChanges.add(((List<?>) part).get(1));
            } else {
                ofLeases.add(part);
            }
        }
        leases.restore(ofLeases);
        changes.restore(ofChanges);
        changes.fence(leases.lastToken(PUBLISHER));
        listener.run();
    }
}
