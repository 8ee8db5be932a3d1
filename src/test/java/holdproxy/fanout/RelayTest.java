package holdproxy.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.Message.Acknowledge;
import holdproxy.fanout.Message.Batch;
import holdproxy.fanout.Message.Heartbeat;
import holdproxy.fanout.Message.Refuse;
import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.Message.Subscribe;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** A relay that serves a change log; the test plays its subscribers. */
class RelayTest {
    private static final long SECOND = 1_000_000;
    private static final FanoutSettings SETTINGS =
            FanoutSettings.DEFAULTS
                    .with(FanoutSettings.DEFAULTS.limits().withWindow(8, 1 << 20))
                    .with(FanoutSettings.DEFAULTS.relay().withBounds(3, 1 << 16, 1 << 16, 1 << 16));

    private final ChangeLog log = new ChangeLog(SETTINGS.limits());
    private final Map<Long, List<Message>> sent = new HashMap<>();
    private final Map<Long, String> closed = new HashMap<>();
    private final Relay relay = new Relay(SETTINGS, new LogSource(), new Links(), 0);
    private int published;

    private final class LogSource implements Relay.Source {
        @Override
        public Replica replica() {
            return log.replica();
        }

        @Override
        public long ageUs(long nowUs) {
            return 7;
        }
    }

    private final class Links implements Relay.Output {
        @Override
        public void send(long link, Message message) {
            sent.computeIfAbsent(link, l -> new ArrayList<>()).add(message);
        }

        @Override
        public void close(long link, String reason) {
            closed.put(link, reason);
        }
    }

    private void publish(long nowUs, int valueBytes) {
        append("key-" + (published + 1), valueBytes);
        relay.sourceChanged(nowUs);
    }

    private void append(String key, int valueBytes) {
        published++;
        TreeMap<String, Value> puts = new TreeMap<>(Map.of(key, Value.of(new byte[valueBytes])));
        log.append(new Publication(1, "id-" + published, puts, new TreeSet<>()));
    }

    private void subscribe(long nowUs, long link, Position held) {
        relay.receive(nowUs, link, new Subscribe("proxy-" + link, held));
    }

    private void acknowledge(long nowUs, long link, Position received) {
        relay.receive(
                nowUs,
                link,
                new Acknowledge(
                        received, Position.NONE, 0, CoverageReport.ofProxy(received, null)));
    }

    private <M extends Message> List<M> sent(long link, Class<M> kind) {
        return sent.getOrDefault(link, List.of()).stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    private Position at(long number) {
        return new Position(5, number);
    }

    @Test
    void anUpToDateSubscriberGetsAChangeAtOnceAndTheNextAfterAcknowledging() {
        log.initialize(5);
        subscribe(0, 1, at(0));
        publish(10, 10);
        publish(20, 10);
        publish(30, 10);
        assertEquals(List.of(at(1)), sent(1, Batch.class).stream().map(Batch::last).toList());
        acknowledge(40, 1, at(1));
        assertEquals(
                List.of(at(1), at(3)), sent(1, Batch.class).stream().map(Batch::last).toList());
        assertEquals(new Heartbeat(at(0), 7), sent(1, Heartbeat.class).get(0));
    }

    @Test
    void aSubscriberThatNeverAcknowledgesDelaysNoOtherAndIsDropped() {
        log.initialize(5);
        subscribe(0, 1, at(0));
        subscribe(0, 2, at(0));
        for (int i = 1; i <= 20; i++) {
            publish(i, 1_000);
            acknowledge(i, 2, at(i));
        }
        assertEquals(20, sent(2, Batch.class).size());
        assertEquals(1, sent(1, Batch.class).size());
        for (long now = SECOND; now <= 7 * SECOND; now += SECOND) {
            acknowledge(now, 2, at(20));
            relay.tick(now);
        }
        assertTrue(closed.get(1L).contains("proxy-1 has acknowledged nothing"), closed.toString());
        assertFalse(closed.containsKey(2L));
        assertEquals(1, relay.status(0).droppedSlow());
        sent.clear();
        subscribe(8 * SECOND, 3, at(1));
        assertEquals(at(20), sent(3, SnapshotPart.class).get(0).position());
    }

    @Test
    void repeatedSubscribesWithoutAcknowledgementResendOnlyOnce() {
        log.initialize(5);
        subscribe(0, 1, at(0));
        publish(10, 1_000);
        for (int i = 0; i < 5; i++) {
            subscribe(20 + i, 1, at(0));
        }
        assertEquals(2, sent(1, Batch.class).size());
        acknowledge(30, 1, at(1));
        publish(40, 1_000);
        assertEquals(at(2), sent(1, Batch.class).get(2).last());
        for (long now = SECOND; now <= 7 * SECOND; now += SECOND) {
            subscribe(now, 1, at(1));
            relay.tick(now);
        }
        assertTrue(closed.get(1L).contains("has acknowledged nothing"), closed.toString());
    }

    @Test
    void aStallOfTheRelayDoesNotDropSubscribers() {
        log.initialize(5);
        subscribe(0, 1, at(0));
        publish(10, 10);
        relay.tick(SECOND);
        relay.tick(30 * SECOND);
        assertEquals(Map.of(), closed);
        for (long now = 31 * SECOND; now <= 36 * SECOND; now += SECOND) {
            relay.tick(now);
        }
        assertTrue(closed.containsKey(1L));
    }

    @Test
    void aLargeGapOrAnOlderEpochGetsASnapshotInPartsAndThenTheChanges() {
        log.initialize(5);
        for (int i = 0; i < 20; i++) {
            publish(0, 9_000);
        }
        subscribe(0, 1, new Position(4, 1_000));
        List<Position> partPositions = new ArrayList<>();
        TreeMap<String, Value> state = new TreeMap<>();
        for (long now = 0; now < 20 * SECOND; now += 100_000) {
            relay.tick(now);
            for (Message message : List.copyOf(sent.getOrDefault(1L, List.of()))) {
                if (message instanceof SnapshotPart part) {
                    state.putAll(part.entries());
                    partPositions.add(part.position());
                    boolean whole = part.index() == part.parts() - 1;
                    Position received = whole ? part.position() : Position.NONE;
                    relay.receive(
                            now,
                            1,
                            new Acknowledge(
                                    received,
                                    part.position(),
                                    part.index() + 1,
                                    CoverageReport.EMPTY));
                }
            }
            sent.clear();
            if (now == SECOND) {
                publish(now, 10);
            }
        }
        assertEquals(3, partPositions.size());
        assertEquals(20, state.size());
        assertEquals(0, relay.status(0).catchingUp());
        assertEquals(1, relay.status(0).batches());
    }

    @Test
    void catchUpIsRateLimitedAndServesChangesBeforeSnapshots() {
        log.initialize(5);
        for (int i = 0; i < 6; i++) {
            publish(0, 60_000);
        }
        subscribe(0, 1, Position.NONE);
        subscribe(0, 2, at(5));
        long paced = 0;
        for (long now = 1; now <= 10 * SECOND; now += 10_000) {
            relay.tick(now);
            acknowledge(now, 2, sent(2, Batch.class).isEmpty() ? at(5) : at(6));
            acknowledge(now, 1, at(0));
            paced = relay.status(now).catchUpBytes();
            assertTrue(paced <= (1 << 16) + now * (1 << 16) / SECOND, paced + " bytes at " + now);
        }
        assertEquals(1, sent(2, Batch.class).size());
        assertTrue(sent(1, SnapshotPart.class).size() >= 1);
    }

    @Test
    void aLargeStepOfTheSourceIsSentAtTheCatchUpRate() {
        log.initialize(5);
        append("a state larger than the changes", 30_000);
        subscribe(0, 1, at(1));
        subscribe(0, 2, at(1));
        for (int i = 0; i < 6; i++) {
            append("key-" + i, 30_000);
        }
        relay.sourceChanged(1);
        assertEquals(1, sent(1, Batch.class).size());
        assertEquals(0, sent(2, Batch.class).size());
        assertEquals(2, relay.status(1).catchingUp());
    }

    @Test
    void aSubscriberMissingMoreThanTheStateSizeGetsASnapshot() {
        log.initialize(5);
        for (int i = 0; i < 6; i++) {
            append("the same key", 30_000);
        }
        subscribe(0, 1, at(0));
        assertEquals(at(6), sent(1, SnapshotPart.class).get(0).position());
        assertEquals(0, sent(1, Batch.class).size());
        subscribe(0, 2, at(5));
        relay.tick(SECOND);
        assertEquals(1, sent(2, Batch.class).size());
    }

    @Test
    void excessAndNewerEpochSubscribersAreRefusedAndInvalidMessagesDropTheLink() {
        log.initialize(5);
        for (long link = 1; link <= 4; link++) {
            subscribe(0, link, at(0));
        }
        assertEquals(Refuse.Reason.FULL, sent(4, Refuse.class).get(0).reason());
        assertTrue(closed.containsKey(4L));
        subscribe(0, 3, new Position(6, 0));
        assertEquals(Refuse.Reason.BEHIND, sent(3, Refuse.class).get(0).reason());
        relay.receive(0, 2, new Subscribe("proxy-1", at(0)));
        assertTrue(closed.get(2L).contains("proxy-2 subscribes as proxy-1"));
        relay.receive(0, 9, new Heartbeat(at(0), 0));
        assertTrue(closed.get(9L).contains("a subscriber must not send Heartbeat"));
        relay.receive(0, 10, new Subscribe("proxy-1", at(0)));
        assertTrue(closed.get(1L).contains("proxy-1 has subscribed on another link"));
        assertEquals(1, relay.status(0).subscribers());
    }

    @Test
    void itReportsHowManyHaveAPositionInForceAndWhoRejects() {
        log.initialize(5);
        for (int i = 0; i < 3; i++) {
            publish(0, 10);
        }
        CoverageReport below =
                new CoverageReport(
                        40,
                        List.of(
                                new CoverageReport.PositionCount(at(3), 30),
                                new CoverageReport.PositionCount(at(1), 10)),
                        1,
                        List.of(new Rejection("proxy-x", at(3), "no tenant")));
        subscribe(0, 1, at(3));
        subscribe(0, 2, at(3));
        relay.receive(0, 1, new Acknowledge(at(3), Position.NONE, 0, below));
        acknowledge(0, 2, at(2));
        CoverageReport report = relay.report();
        assertEquals(41, report.proxies());
        assertEquals(30, report.countInForceAtOrAfter(at(3)));
        assertEquals(31, report.countInForceAtOrAfter(at(2)));
        assertEquals("proxy-x", report.rejections().get(0).name());
        relay.disconnected(0, 1);
        assertEquals(1, relay.report().proxies());
    }

    @Test
    void aReportIsBoundedAndNeverCountsTooMuch() {
        List<CoverageReport> reports = new ArrayList<>();
        for (int i = 1; i <= 100; i++) {
            reports.add(CoverageReport.ofProxy(at(i), new Rejection("proxy-" + i, at(i), "no")));
        }
        CoverageReport merged = CoverageReport.merge(reports, SETTINGS.limits());
        assertEquals(8, merged.inForce().size());
        assertEquals(16, merged.rejections().size());
        assertEquals(100, merged.rejecting());
        assertEquals(100, merged.countInForceAtOrAfter(at(1)));
        assertEquals(7, merged.countInForceAtOrAfter(at(94)));
        assertTrue(merged.countInForceAtOrAfter(at(50)) <= 51);
    }

    @Test
    void shutDownRefusesAllSubscribers() {
        log.initialize(5);
        subscribe(0, 1, at(0));
        relay.shutDown(5);
        assertInstanceOf(Refuse.class, sent.get(1L).get(1));
        assertEquals(0, relay.status(5).subscribers());
    }
}
