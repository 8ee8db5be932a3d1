package holdproxy.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.AppendResult.Appended;
import holdproxy.fanout.AppendResult.Reason;
import holdproxy.fanout.AppendResult.Refused;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ChangeLogTest {
    private static final FanoutSettings.Limits LIMITS =
            new FanoutSettings.Limits(16, 100, 300, 4, 5, 1_000, 3, 10_000, 2, 16, 16, 4, 4, 4_096);

    private final ChangeLog log = new ChangeLog(LIMITS);

    private AppendResult put(long token, String id, String key, String value) {
        return log.append(
                new Publication(
                        token, id, new TreeMap<>(Map.of(key, Value.of(value))), new TreeSet<>()));
    }

    private static Reason reason(AppendResult result) {
        return assertInstanceOf(Refused.class, result).reason();
    }

    @Test
    void appendedChangesAreNumberedConsecutivelyWithinTheEpoch() {
        assertEquals(Reason.NOT_FOUNDED, reason(put(1, "a", "k", "v")));
        assertEquals(new Position(9, 0), log.initialize(9));
        assertEquals(new Position(9, 0), log.initialize(12));
        assertEquals(new Appended(new Position(9, 1), false), put(1, "a", "k", "v"));
        assertEquals(new Appended(new Position(9, 2), false), put(1, "b", "k", "w"));
        assertEquals("w", log.replica().entries().get("k").text());
    }

    @Test
    void aTokenBelowTheHighestIsRefusedAndARepeatedPublicationIsRecognized() {
        log.initialize(1);
        put(5, "a", "k", "v");
        assertEquals(Reason.STALE_TOKEN, reason(put(4, "b", "k", "old")));
        assertEquals(new Appended(new Position(1, 1), true), put(4, "a", "k", "v"));
        assertEquals("v", log.replica().entries().get("k").text());
        assertEquals(new Position(1, 1), log.position());
    }

    @Test
    void tooLargeOrInvalidPublicationsAreRefusedWithoutEffect() {
        log.initialize(1);
        assertEquals(Reason.TOO_LARGE, reason(put(1, "a", "k", "v".repeat(101))));
        assertEquals(Reason.INVALID, reason(put(1, "a", "k".repeat(17), "v")));
        assertEquals(Reason.INVALID, reason(put(1, "i".repeat(17), "k", "v")));
        assertEquals(
                Reason.INVALID,
                reason(log.append(new Publication(1, "a", new TreeMap<>(), new TreeSet<>()))));
        assertEquals(
                Reason.TOO_LARGE,
                reason(
                        log.append(
                                new Publication(
                                        1,
                                        "a",
                                        new TreeMap<>(),
                                        new TreeSet<>(List.of("1", "2", "3", "4", "5"))))));
        assertEquals(
                Reason.INVALID,
                reason(
                        log.append(
                                new Publication(
                                        1,
                                        "a",
                                        new TreeMap<>(Map.of("k", Value.of("v"))),
                                        new TreeSet<>(List.of("k"))))));
        for (int i = 0; i < 5; i++) {
            put(1, "id-" + i, "key-" + i, "v");
        }
        assertEquals(Reason.STATE_FULL, reason(put(1, "more", "key-5", "v")));
        assertInstanceOf(Appended.class, put(1, "again", "key-4", "w"));
        assertEquals(new Position(1, 6), log.position());
        assertEquals(0, log.highestToken() - 1);
    }

    @Test
    void theWindowIsBoundedAndKeepsTheNewest() {
        log.initialize(1);
        for (int i = 1; i <= 10; i++) {
            put(1, "id-" + i, "k", "value-" + i);
            assertTrue(log.replica().windowChanges() <= 3);
        }
        assertTrue(log.replica().covers(new Position(1, 7)));
        assertTrue(
                !log.replica().covers(new Position(1, 6))
                        && !log.replica().covers(new Position(2, 8)));
        assertEquals(
                List.of(8L, 9L, 10L),
                log.replica().after(new Position(1, 7), 10_000).stream()
                        .map(c -> c.position().number())
                        .toList());
        assertEquals(1, log.replica().after(new Position(1, 7), 1).size());
        assertEquals(List.of(), log.replica().after(new Position(1, 10), 1));
    }

    @Test
    void aRestoredLogBehavesLikeTheOriginal() {
        log.initialize(4);
        for (int i = 1; i <= 4; i++) {
            put(7, "id-" + i, "key-" + i, "v" + i);
        }
        ChangeLog other = new ChangeLog(LIMITS);
        other.restore(log.snapshot(64));
        assertEquals(log.replica().entries(), other.replica().entries());
        for (ChangeLog each : List.of(log, other)) {
            List<Object> stale =
                    ChangeLogOperations.append(
                            new Publication(
                                    6,
                                    "x",
                                    new TreeMap<>(Map.of("k", Value.of("v"))),
                                    new TreeSet<>()));
            assertEquals(
                    Reason.STALE_TOKEN,
                    reason(
                            ChangeLogOperations.decodeResult(
                                    ChangeLogOperations.apply(each, stale))));
            assertEquals(
                    new Appended(new Position(4, 4), true),
                    each.append(
                            new Publication(
                                    7,
                                    "id-4",
                                    new TreeMap<>(Map.of("k", Value.of("v"))),
                                    new TreeSet<>())));
        }
        assertEquals(
                log.replica().after(new Position(4, 1), 1_000),
                other.replica().after(new Position(4, 1), 1_000));
        assertTrue(log.snapshot(64).size() > 1);
    }

    @Test
    void unknownOperationsAreRefused() {
        log.initialize(1);
        for (Object unknown :
                Arrays.asList(List.of("rename", 1), List.of(), "x", List.of("append", 1), null)) {
            assertEquals(
                    Reason.UNKNOWN_OPERATION,
                    reason(
                            ChangeLogOperations.decodeResult(
                                    ChangeLogOperations.apply(log, unknown))));
        }
        assertEquals(new Position(1, 0), log.position());
    }
}
