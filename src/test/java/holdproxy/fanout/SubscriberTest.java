package holdproxy.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.Message.Acknowledge;
import holdproxy.fanout.Message.Batch;
import holdproxy.fanout.Message.Heartbeat;
import holdproxy.fanout.Message.Refuse;
import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.Message.Subscribe;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A subscriber; the test plays its relays. */
class SubscriberTest {
    private static final FanoutSettings SETTINGS = FanoutSettings.DEFAULTS;
    private static final long SECOND = 1_000_000;
    private static final List<RelayCandidate> RELAYS =
            List.of(new RelayCandidate("r1", "1", "here"), new RelayCandidate("r2", "2", "there"));

    private final List<Message> sent = new ArrayList<>();
    private final List<String> dialled = new ArrayList<>();
    private final List<String> closed = new ArrayList<>();
    private final List<Position> offered = new ArrayList<>();
    private final Set<String> rejectedKeys = new HashSet<>();
    private final Subscriber subscriber =
            new Subscriber(
                    "proxy",
                    SETTINGS,
                    new Replica(SETTINGS.limits()),
                    this::offer,
                    null,
                    new Links(),
                    new Random(1),
                    0);
    private long link;
    private long nowUs;

    private final class Links implements Subscriber.Output {
        @Override
        public void dial(long newLink, RelayCandidate candidate) {
            link = newLink;
            dialled.add(candidate.name());
        }

        @Override
        public void send(long ofLink, Message message) {
            sent.add(message);
        }

        @Override
        public void close(long ofLink, String reason) {
            closed.add(reason);
        }
    }

    private Optional<String> offer(
            long now, Position position, SortedMap<String, Value> state, List<Change> changes) {
        offered.add(position);
        return state.keySet().stream()
                .filter(rejectedKeys::contains)
                .findFirst()
                .map(key -> "no key " + key);
    }

    @BeforeEach
    void start() {
        subscriber.setCandidates(0, RELAYS);
        subscriber.connected(0, link);
        receive(new Heartbeat(at(0), 0));
        snapshot(at(10), "a", "b");
        sent.clear();
    }

    private static Position at(long number) {
        return new Position(5, number);
    }

    private static Change change(Position position, String... keys) {
        TreeMap<String, Value> puts = new TreeMap<>();
        for (String key : keys) {
            puts.put(key, Value.of(position.toString()));
        }
        return new Change(position, puts, new TreeSet<>());
    }

    private static Batch batch(Position predecessor, int count) {
        List<Change> changes = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            changes.add(change(predecessor.plus(i), "k" + predecessor.plus(i).number()));
        }
        return new Batch(predecessor, changes);
    }

    private void receive(Message message) {
        subscriber.receive(nowUs, link, message);
    }

    private void snapshot(Position position, String first, String second) {
        receive(new SnapshotPart(position, 0, 2, change(position, first).puts()));
        receive(new SnapshotPart(position, 1, 2, change(position, second).puts()));
    }

    /** Advances the clock, with this heartbeat every second unless it is null. */
    private void advanceClock(long us, Heartbeat heartbeat) {
        long endUs = nowUs + us;
        while (nowUs < endUs) {
            long nextUs = Math.min(endUs, Math.min(subscriber.nextTickUs(), nowUs + SECOND));
            boolean wholeSecond = nextUs == nowUs + SECOND;
            nowUs = Math.max(nowUs + 1, nextUs);
            subscriber.tick(nowUs);
            if (heartbeat != null && wholeSecond) {
                receive(heartbeat);
            }
        }
    }

    private Position received() {
        return subscriber.status(nowUs).received();
    }

    @Test
    void batchesAreAppliedInOrderAndNoneTwice() {
        receive(batch(at(10), 2));
        receive(batch(at(10), 2));
        receive(batch(at(9), 1));
        receive(batch(at(11), 3));
        assertEquals(List.of(at(10), at(12), at(14)), offered);
        assertEquals(4, subscriber.status(0).changes());
        assertEquals(2, subscriber.status(0).duplicates());
        assertEquals(4, sent.size());
        assertEquals(at(14), ((Acknowledge) sent.get(3)).received());
    }

    @Test
    void aGapTriggersOneSubscribeAndIsNotApplied() {
        nowUs = SECOND;
        receive(batch(at(11), 1));
        receive(batch(at(12), 1));
        assertEquals(List.of(new Subscribe("proxy", at(10))), sent);
        assertEquals(at(10), received());
        assertEquals(2, subscriber.status(nowUs).gaps());
    }

    @Test
    void missingChangesAreRequestedAgainWithExponentialBackoff() {
        advanceClock(20 * SECOND, new Heartbeat(at(12), 0));
        long resubscriptions = sent.stream().filter(Subscribe.class::isInstance).count();
        assertEquals(3, resubscriptions, "at heartbeats at least 1.5 s, then 3 s, then 6 s later");
        assertTrue(closed.isEmpty());
    }

    @Test
    void aSnapshotIsAppliedOnlyWhenComplete() {
        receive(new SnapshotPart(at(20), 0, 3, change(at(20), "x").puts()));
        receive(new SnapshotPart(at(20), 0, 3, change(at(20), "x").puts()));
        receive(new SnapshotPart(at(20), 2, 3, change(at(20), "z").puts()));
        assertEquals(at(10), received());
        assertEquals(Set.of("a", "b"), subscriber.replica().entries().keySet());
        receive(new SnapshotPart(at(20), 1, 3, change(at(20), "y").puts()));
        receive(new SnapshotPart(at(20), 2, 3, change(at(20), "z").puts()));
        assertEquals(at(20), received());
        assertEquals(Set.of("x", "y", "z"), subscriber.replica().entries().keySet());
        snapshot(at(15), "old", "older");
        assertEquals(at(20), received());
    }

    @Test
    void aHigherEpochIsAcceptedAndARelayOfferingALowerOneIsLeft() {
        snapshot(new Position(6, 1), "p", "q");
        assertEquals(new Position(6, 1), received());
        for (Message older :
                List.of(
                        new Heartbeat(at(50), 0),
                        batch(at(50), 1),
                        new SnapshotPart(at(50), 0, 1, new TreeMap<>()))) {
            closed.clear();
            receive(older);
            assertEquals(1, closed.size());
            assertTrue(closed.get(0).contains("offers epoch 5, older than 6"), closed.get(0));
            advanceClock(SECOND, null);
            subscriber.connected(nowUs, link);
            receive(new Heartbeat(new Position(6, 1), 0));
        }
        assertEquals(3, subscriber.status(nowUs).lowerEpochs());
        assertEquals(new Position(6, 1), received());
    }

    @Test
    void aRejectedStateIsReportedAndThePositionAdvances() {
        rejectedKeys.add("k11");
        receive(batch(at(10), 1));
        Acknowledge acknowledge = (Acknowledge) sent.get(0);
        assertEquals(at(11), acknowledge.received());
        assertEquals(1, acknowledge.report().rejecting());
        assertEquals(
                new Rejection("proxy", at(11), "no key k11"),
                acknowledge.report().rejections().get(0));
        assertEquals(1, acknowledge.report().countInForceAtOrAfter(at(10)));
        assertEquals(0, acknowledge.report().countInForceAtOrAfter(at(11)));
        receive(
                new Batch(
                        at(11),
                        List.of(
                                new Change(
                                        at(12), new TreeMap<>(), new TreeSet<>(List.of("k11"))))));
        assertEquals(at(12), subscriber.status(0).inForce());
        assertEquals(0, ((Acknowledge) sent.get(1)).report().rejecting());
    }

    @Test
    void aSilentRelayIsReplacedAfterTheTimeOutAndABackoff() {
        advanceClock(2_400_000, null);
        assertEquals(List.of("r1"), dialled);
        advanceClock(400_000, null);
        assertEquals(List.of("r1", "r2"), dialled);
        assertTrue(closed.get(0).contains("no message from r1 for 2500 ms"), closed.toString());
        subscriber.connected(nowUs, link);
        assertEquals(new Subscribe("proxy", at(10)), sent.get(0));
    }

    @Test
    void itReturnsToARelayOfItsOwnSite() {
        subscriber.disconnected(nowUs, link, "reset");
        advanceClock(SECOND, null);
        subscriber.connected(nowUs, link);
        receive(new Heartbeat(at(10), 0));
        advanceClock(46 * SECOND, new Heartbeat(at(10), 0));
        assertEquals(List.of("r1", "r2", "r1"), dialled);
    }

    @Test
    void aRefusingRelayIsAvoidedAndTheNextOneDialled() {
        receive(new Refuse(Refuse.Reason.SHUTTING_DOWN, "shutting down", 60 * SECOND));
        advanceClock(300_000, null);
        assertEquals(List.of("r1", "r2"), dialled);
        subscriber.disconnected(nowUs, link, "reset");
        advanceClock(SECOND, null);
        assertEquals(List.of("r1", "r2", "r2"), dialled);
    }

    @Test
    void aRelayThatIsCutOffFromItsSourceIsLeft() {
        advanceClock(3 * SECOND, new Heartbeat(at(10), 0));
        assertEquals(0, subscriber.ageUs(nowUs));
        for (int i = 1; i <= 5; i++) {
            advanceClock(SECOND, new Heartbeat(at(10), i * SECOND));
        }
        assertTrue(closed.get(0).contains("r1 has had no current data"), closed.toString());
        assertTrue(subscriber.ageUs(nowUs) >= 4 * SECOND);
    }

    @Test
    void withoutAnotherCandidateAStaleRelayIsKept() {
        subscriber.setCandidates(0, RELAYS.subList(0, 1));
        for (int i = 1; i <= 30; i++) {
            advanceClock(SECOND, new Heartbeat(at(10), i * SECOND));
        }
        assertTrue(closed.isEmpty(), closed.toString());
        assertEquals(30 * SECOND, subscriber.ageUs(nowUs));
    }

    @Test
    void afterAStallTheRelayIsKeptAndQueuedHeartbeatsDoNotCountAsFresh() {
        advanceClock(3 * SECOND, new Heartbeat(at(10), 0));
        nowUs += 10 * SECOND;
        receive(new Heartbeat(at(10), 0));
        subscriber.tick(nowUs);
        assertEquals(10 * SECOND, subscriber.ageUs(nowUs));
        advanceClock(SECOND, new Heartbeat(at(10), 0));
        assertEquals(0, subscriber.ageUs(nowUs));
        assertTrue(closed.isEmpty(), closed.toString());
    }

    @Test
    void aHeartbeatOfAnEmptyRelayDoesNotRefreshTheAge() {
        long agedUs = subscriber.ageUs(nowUs + SECOND);
        nowUs = SECOND;
        receive(new Heartbeat(Position.NONE, 0));
        assertEquals(agedUs, subscriber.ageUs(nowUs));
        assertFalse(sent.stream().anyMatch(Subscribe.class::isInstance));
    }

    @Test
    void theSubscribersOfAFailedRelaySpreadOverTheOthers() {
        List<RelayCandidate> relays = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            relays.add(new RelayCandidate("relay-" + i, "", "site-" + i));
        }
        Map<String, Integer> second = new TreeMap<>();
        for (int i = 0; i < 900; i++) {
            List<RelayCandidate> order = RendezvousOrder.of("proxy-" + i, "site-3", relays);
            assertEquals("relay-3", order.get(0).name());
            assertEquals(
                    order,
                    RendezvousOrder.of(
                            "proxy-" + i,
                            "site-3",
                            relays.stream()
                                    .sorted((a, b) -> b.name().compareTo(a.name()))
                                    .toList()));
            second.merge(order.get(1).name(), 1, Integer::sum);
        }
        assertEquals(9, second.size());
        assertTrue(
                second.values().stream().allMatch(count -> count > 70 && count < 130),
                second.toString());
    }
}
