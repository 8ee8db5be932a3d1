package holdproxy.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import holdproxy.input.BadInput;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Grants, renewals and ends of leases, and operations that arrive late or twice. */
class LeaseTableTest {
    private final LeaseTable table = new LeaseTable();
    private long index;

    private Object apply(List<Object> operation) {
        return table.apply(++index, operation);
    }

    @Test
    void onlyOneHoldsALeaseAndTheNextTokenIsHigher() {
        assertEquals(List.of("HELD", 1L, 0L), apply(LeaseTable.ask("d", "a", 5, 1000, 0)));
        assertEquals(List.of("TAKEN", 1L, "a"), apply(LeaseTable.ask("d", "b", 9, 1000, 0)));
        assertEquals(
                List.of("TAKEN", 1L, "a"),
                apply(LeaseTable.ask("d", "a", 6, 1000, 0)),
                "another generation is another process");
        assertEquals(
                List.of("HELD", 1L, 1L),
                apply(LeaseTable.ask("d", "a", 5, 1000, 0)),
                "a repeated request is a renewal");
        assertEquals(List.of("HELD", 1L, 2L), apply(LeaseTable.renew("d", 1)));
        assertEquals(List.of("HELD", 2L, 0L), apply(LeaseTable.ask("e", "b", 9, 1000, 0)));
        assertEquals(List.of("ENDED"), apply(LeaseTable.release("d", 1)));
        assertEquals(List.of("HELD", 3L, 0L), apply(LeaseTable.ask("d", "b", 9, 1000, 1)));
    }

    @Test
    void lateOperationsChangeNothing() {
        apply(LeaseTable.ask("d", "a", 5, 1000, 0));
        Lease first = table.lease("d");
        apply(LeaseTable.renew("d", 1));
        assertEquals(
                List.of("UNCHANGED"), apply(LeaseTable.expire(first)), "it was renewed meanwhile");
        assertEquals(List.of("ENDED"), apply(LeaseTable.expire(table.lease("d"))));
        assertEquals(List.of("ENDED"), apply(LeaseTable.renew("d", 1)), "a renewal after the end");
        assertEquals(
                List.of("FREE", 1L),
                apply(LeaseTable.ask("d", "a", 5, 1000, 0)),
                "a request from before the end");
        assertNull(table.lease("d"));
        assertEquals(List.of("HELD", 2L, 0L), apply(LeaseTable.ask("d", "b", 9, 1000, 1)));
        assertEquals(
                List.of("UNCHANGED"),
                apply(LeaseTable.release("d", 1)),
                "the end of an earlier lease");
        assertEquals("b", table.lease("d").holder());
    }

    @Test
    void aSnapshotRestoresTheTable() {
        apply(LeaseTable.ask("d", "a", 5, 1000, 0));
        apply(LeaseTable.renew("d", 1));
        apply(LeaseTable.ask("e", "b", 9, 2000, 0));
        apply(LeaseTable.release("e", 2));
        LeaseTable other = new LeaseTable();
        List<String> changedRoles = new ArrayList<>();
        other.onChange(changedRoles::add);
        other.restore(table.snapshot());
        assertEquals(table.leases(), other.leases());
        assertEquals(List.of("d", "e"), changedRoles);
        assertEquals(
                List.of("HELD", 3L, 0L),
                other.apply(9, LeaseTable.ask("e", "c", 1, 1000, 2)),
                "tokens continue to increase");
    }

    @Test
    void requestsForATakenLeaseAreRefusedWithoutTheLog() {
        List<String> refused = new ArrayList<>();
        table.onRefused((role, name) -> refused.add(role + " " + name));
        assertNull(
                table.answerWithoutReplication(LeaseTable.ask("d", "a", 5, 1000, 0)), "it is free");
        apply(LeaseTable.ask("d", "a", 5, 1000, 0));
        assertNull(
                table.answerWithoutReplication(LeaseTable.ask("d", "a", 5, 1000, 0)),
                "its own lease: a renewal");
        assertNull(table.answerWithoutReplication(LeaseTable.renew("d", 1)));
        assertEquals(
                List.of("TAKEN", 1L, "a"),
                table.answerWithoutReplication(LeaseTable.ask("d", "b", 9, 1000, 0)));
        assertEquals(List.of("d b"), refused);
    }

    @Test
    void rolesAreBounded() {
        for (int i = 0; i < LeaseTable.MAX_ROLES; i++) {
            apply(LeaseTable.ask("d" + i, "a", 5, 1000, 0));
        }
        assertEquals(List.of("FREE", 0L), apply(LeaseTable.ask("one more", "a", 5, 1000, 0)));
        assertThrows(BadInput.class, () -> apply(List.of("unknown", "d")));
    }
}
