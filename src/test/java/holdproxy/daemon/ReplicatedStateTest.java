package holdproxy.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.AppendResult;
import holdproxy.fanout.AppendResult.Appended;
import holdproxy.fanout.AppendResult.Reason;
import holdproxy.fanout.AppendResult.Refused;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Position;
import holdproxy.fanout.Publication;
import holdproxy.fanout.Value;
import holdproxy.lease.LeaseTable;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The lease table and the change log in one replicated state. */
class ReplicatedStateTest {
    private final ReplicatedState state = empty();
    private long index;

    private static ReplicatedState empty() {
        return new ReplicatedState(
                new LeaseTable(), new ChangeLog(FanoutSettings.DEFAULTS.limits()));
    }

    private static List<Object> ask(String role, String holder, long seen) {
        return Arrays.asList("ask", role, holder, 7L, 1_000, seen);
    }

    private static Publication publication(long token, String id) {
        return new Publication(
                token, id, new TreeMap<>(Map.of("key", Value.of(id))), new TreeSet<>());
    }

    private AppendResult append(long token, String id) {
        return ChangeLogOperations.decodeResult(
                state.apply(++index, ReplicatedState.append(publication(token, id))));
    }

    private void grantPublisherTwice() {
        state.apply(++index, ask(ReplicatedState.PUBLISHER_ROLE, "a", 0));
        state.apply(++index, ReplicatedState.found(9));
        state.apply(++index, List.of("release", ReplicatedState.PUBLISHER_ROLE, 1L));
        state.apply(++index, ask(ReplicatedState.PUBLISHER_ROLE, "b", 1));
    }

    private static Reason reason(AppendResult result) {
        return ((Refused) result).reason();
    }

    @Test
    void formerHolderIsRefusedOnceTheLeaseIsGrantedAgain() {
        state.apply(++index, ask(ReplicatedState.PUBLISHER_ROLE, "a", 0));
        state.apply(++index, ReplicatedState.found(9));
        assertEquals(new Appended(new Position(9, 1), false), append(1, "first"));
        state.apply(++index, List.of("release", ReplicatedState.PUBLISHER_ROLE, 1L));
        state.apply(++index, ask("another role", "c", 0));
        assertEquals(new Appended(new Position(9, 2), false), append(1, "nobody has it yet"));
        state.apply(++index, ask(ReplicatedState.PUBLISHER_ROLE, "b", 1));
        assertEquals(Reason.STALE_TOKEN, reason(append(1, "old holder")));
        assertEquals(
                new Appended(new Position(9, 1), true), append(1, "first"), "its answer was lost");
        assertEquals(new Appended(new Position(9, 3), false), append(3, "new holder"));
        assertEquals("new holder", state.changes().replica().entries().get("key").text());
    }

    @Test
    void snapshotKeepsLeasesChangesAndFencing() {
        grantPublisherTwice();
        append(2, "kept");
        ReplicatedState other = empty();
        int[] notifications = {0};
        other.onChange(() -> notifications[0]++);
        other.restore(state.snapshot());
        assertEquals(1, notifications[0]);
        assertEquals(state.leases().leases(), other.leases().leases());
        assertEquals(new Position(9, 1), other.changes().position());
        assertEquals(
                Reason.STALE_TOKEN,
                reason(
                        ChangeLogOperations.decodeResult(
                                other.apply(9, ReplicatedState.append(publication(1, "late"))))));
        assertEquals(state.snapshot().toString().length(), other.snapshot().toString().length());
        other.clear();
        assertEquals(Position.NONE, other.changes().position());
        assertTrue(other.leases().leases().isEmpty());
    }

    /** Snapshots from before the change log have one unmarked part, the lease table. */
    @Test
    void snapshotWithoutChangeLogIsReadAndFencesFormerHolders() {
        LeaseTable before = new LeaseTable();
        before.apply(1, ask(ReplicatedState.PUBLISHER_ROLE, "a", 0));
        before.apply(2, List.of("release", ReplicatedState.PUBLISHER_ROLE, 1L));
        before.apply(3, ask(ReplicatedState.PUBLISHER_ROLE, "b", 1));
        state.restore(before.snapshot());
        assertEquals(before.leases(), state.leases().leases());
        assertEquals(Position.NONE, state.changes().position());
        state.apply(4, ReplicatedState.found(9));
        assertEquals(Reason.STALE_TOKEN, reason(append(1, "old holder")));
        assertEquals(new Appended(new Position(9, 1), false), append(2, "holder"));
    }

    @Test
    void onlyLeaseOperationsAreAnsweredWithoutTheLog() {
        grantPublisherTwice();
        assertEquals(
                null, state.answerWithoutReplication(ReplicatedState.append(publication(2, "x"))));
        assertEquals(
                List.of("TAKEN", 2L, "b"),
                state.answerWithoutReplication(ask(ReplicatedState.PUBLISHER_ROLE, "c", 0)));
    }

    @Test
    void unknownOperationChangesNothing() {
        grantPublisherTwice();
        assertEquals(
                Reason.UNKNOWN_OPERATION,
                reason(
                        ChangeLogOperations.decodeResult(
                                state.apply(++index, List.of("changes", List.of("later", 1L))))));
        assertEquals(new Position(9, 0), state.changes().position());
    }
}
