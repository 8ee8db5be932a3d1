package holdproxy.simulation;

import holdproxy.fanout.Change;
import holdproxy.fanout.Message;
import holdproxy.fanout.Position;
import holdproxy.fanout.Publication;
import holdproxy.fanout.Value;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Checks a fan-out run against what was committed and what each process received. It keeps its own
 * history: it shares no rule with the program under test and compares positions itself.
 */
final class FanoutChecker implements FanoutNetwork.Observer {
    private static final int MOST_BROKEN = 50;

    /** A heartbeat may be in transit for as long as a link survives without one, plus a margin. */
    private static final long AGE_SLACK_US = 4_000_000;

    /**
     * After a resubscription the relay may send once more while the last batch is still in flight.
     */
    private static final int CREDITS_IN_FLIGHT = 2;

    /** A committed change and the full state after it. */
    private record Committed(
            Position position, long atUs, long token, int bytes, Map<String, Value> state) {}

    /** What one incarnation of a process received last. */
    private static final class Received {
        Position position;

        Received(Position position) {
            this.position = position;
        }
    }

    /** Bytes on a connection that its downstream end has not acknowledged. */
    private static final class Credit {
        final ArrayDeque<long[]> underWay = new ArrayDeque<>();
        long sent;
        long bytes;
    }

    private final SimulatedClock time;
    private final int creditBytes;
    private final Map<Position, Committed> history = new HashMap<>();
    private final List<Committed> inOrder = new ArrayList<>();
    private final Map<FanoutNode, Received> receivedByNode = new HashMap<>();
    private final Map<Long, Credit> credits = new HashMap<>();
    private final Set<String> scrambled = new HashSet<>();
    private final Map<String, TreeMap<Long, Long>> bytesBySecond = new HashMap<>();
    private final Map<String, TreeMap<Long, Long>> bytesReceivedBySecond = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Histogram inForceMs;
    private long refusedPublications;

    /**
     * {@code inForceMs} records, for each change and proxy, the time from commit to coming into
     * force; null to record nothing.
     */
    FanoutChecker(SimulatedClock time, int creditBytes, Histogram inForceMs) {
        this.time = time;
        this.creditBytes = creditBytes;
        this.inForceMs = inForceMs;
    }

    List<String> violations() {
        return broken;
    }

    long refusedPublications() {
        return refusedPublications;
    }

    void reportViolation(String what) {
        if (broken.size() < MOST_BROKEN) {
            broken.add(what + " at " + time.nowUs() / 1e6 + " s");
        }
    }

    // ---- the history ----

    /** The log was created with this epoch. */
    void logCreated(Position position) {
        remember(new Committed(position, time.nowUs(), 0, 0, Map.of()));
    }

    /** The log has appended a publication. */
    void committed(Position position, Publication publication) {
        Committed before = inOrder.get(inOrder.size() - 1);
        if (position.epoch() != before.position.epoch()
                || position.number() != before.position.number() + 1) {
            reportViolation("the log went from " + before.position + " to " + position);
        }
        if (publication.token() < before.token) {
            reportViolation(
                    "the log accepted token " + publication.token() + " after " + before.token);
        }
        Map<String, Value> state = new TreeMap<>(before.state);
        publication.deletes().forEach(state::remove);
        state.putAll(publication.puts());
        int bytes = 0;
        for (Map.Entry<String, Value> put : publication.puts().entrySet()) {
            bytes += put.getKey().length() + put.getValue().size();
        }
        remember(new Committed(position, time.nowUs(), publication.token(), bytes, state));
    }

    private void remember(Committed committed) {
        history.put(committed.position, committed);
        inOrder.add(committed);
    }

    /** The log has rejected a publication with this token. */
    void publicationRejected() {
        refusedPublications++;
    }

    Position newest() {
        return inOrder.get(inOrder.size() - 1).position;
    }

    long newestToken() {
        return inOrder.get(inOrder.size() - 1).token;
    }

    // ---- what processes receive ----

    /** An incarnation of a process starts, with the state it kept from the previous one. */
    void processStarted(FanoutNode node, Position kept) {
        receivedByNode.put(node, new Received(kept));
    }

    void offered(
            FanoutNode node,
            Position position,
            SortedMap<String, Value> state,
            List<Change> changes,
            boolean accepted) {
        Received last = receivedByNode.get(node);
        Committed committed = history.get(position);
        if (committed == null) {
            reportViolation(node.name + " received " + position + ", which was never committed");
            return;
        }
        if (!laterThan(position, last.position)) {
            reportViolation(node.name + " received " + position + " after " + last.position);
        }
        if (!changes.isEmpty()
                && (position.epoch() != last.position.epoch()
                        || position.number() - last.position.number() != changes.size())) {
            reportViolation(
                    node.name
                            + " went from "
                            + last.position
                            + " to "
                            + position
                            + " by "
                            + changes.size()
                            + " changes");
        }
        if (!state.equals(committed.state)) {
            reportViolation(
                    node.name
                            + " received a state that differs from that of "
                            + position
                            + " in the log");
        }
        if (accepted && inForceMs != null && node instanceof FanoutProcesses.Proxy) {
            recordInForce(last.position, position);
        }
        last.position = position;
    }

    private static boolean laterThan(Position one, Position other) {
        return one.epoch() > other.epoch()
                || one.epoch() == other.epoch() && one.number() > other.number();
    }

    /** Every change after the previous position has come into force now. */
    private void recordInForce(Position before, Position now) {
        if (before.epoch() != now.epoch()) {
            return; // its first state
        }
        for (long number = before.number() + 1; number <= now.number(); number++) {
            Committed committed = history.get(new Position(now.epoch(), number));
            inForceMs.recordValue((time.nowUs() - committed.atUs) / 1000);
        }
    }

    /** A process reports that its state was the newest the given time ago. */
    void checkReportedAge(String name, Position held, long ageUs) {
        long wasNewestUs = time.nowUs() - ageUs - AGE_SLACK_US;
        for (int i = inOrder.size() - 1; i >= 0; i--) {
            Committed each = inOrder.get(i);
            if (each.atUs <= wasNewestUs) {
                if (laterThan(each.position, held)) {
                    reportViolation(
                            name
                                    + " reports that "
                                    + held
                                    + " is "
                                    + ageUs / 1000
                                    + " ms old, but "
                                    + each.position
                                    + " was committed at "
                                    + each.atUs / 1e6
                                    + " s");
                }
                return;
            }
        }
    }

    // ---- the wire ----

    /**
     * Stops checking flow-control credit on a process's links, because messages on them are
     * duplicated or lost.
     */
    void ignoreCreditOf(String name) {
        scrambled.add(name);
    }

    @Override
    public void sentDown(FanoutNetwork.Connection connection, Message message, int bytes) {
        bytesBySecond
                .computeIfAbsent(connection.serverNode.name, n -> new TreeMap<>())
                .merge(time.nowUs() / 1_000_000, (long) bytes, Long::sum);
        bytesReceivedBySecond
                .computeIfAbsent(connection.clientNode.name, n -> new TreeMap<>())
                .merge(time.nowUs() / 1_000_000, (long) bytes, Long::sum);
        Credit credit = credits.computeIfAbsent(connection.number, n -> new Credit());
        boolean counts =
                message instanceof Message.Batch || message instanceof Message.SnapshotPart;
        credit.underWay.add(new long[] {credit.sent++, counts ? bytes : 0});
        credit.bytes += counts ? bytes : 0;
        if (credit.bytes > CREDITS_IN_FLIGHT * creditBytes
                && !scrambled.contains(connection.clientNode.name)) {
            reportViolation(
                    connection.serverNode.name
                            + " has sent "
                            + connection.clientNode.name
                            + " "
                            + credit.bytes
                            + " bytes that it has not acknowledged");
        }
    }

    @Override
    public void arrivedUp(FanoutNetwork.Connection connection, Message message, long takenDown) {
        Credit credit = credits.computeIfAbsent(connection.number, n -> new Credit());
        while (!credit.underWay.isEmpty() && credit.underWay.peek()[0] < takenDown) {
            credit.bytes -= credit.underWay.poll()[1];
        }
    }

    /**
     * Checks that in no second a machine sent more than its rate limit, its burst, the heartbeats
     * and, to each subscriber, what was committed within the preceding seconds.
     */
    void checkSendRate(String name, long bytesPerSecond, long burst, int subscribers) {
        Map<Long, Long> committedBytes = new HashMap<>();
        Map<Long, Long> receivedBytes = bytesReceivedBySecond.getOrDefault(name, new TreeMap<>());
        for (Committed each : inOrder) {
            committedBytes.merge(each.atUs / 1_000_000, each.bytes + 200L, Long::sum);
        }
        for (Map.Entry<Long, Long> second :
                bytesBySecond.getOrDefault(name, new TreeMap<>()).entrySet()) {
            long live = 0;
            long received = 0;
            for (long back = 0; back <= 2; back++) {
                live += committedBytes.getOrDefault(second.getKey() - back, 0L);
                received += receivedBytes.getOrDefault(second.getKey() - back, 0L);
            }
            live = Math.max(live, received);
            long bound = bytesPerSecond + burst + subscribers * (creditBytes + live + 200);
            if (second.getValue() > bound) {
                reportViolation(
                        name
                                + " sent "
                                + second.getValue()
                                + " bytes in second "
                                + second.getKey()
                                + ", more than "
                                + bound);
            }
        }
    }

    /** The most bytes that a process sent in any second from the given time on. */
    long mostBytesASecond(String name, long fromSecond) {
        return bytesBySecond
                .getOrDefault(name, new TreeMap<>())
                .tailMap(fromSecond)
                .values()
                .stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    // ---- final state ----

    void checkFinalState(String name, Position received, SortedMap<String, Value> state) {
        if (!received.equals(newest())) {
            reportViolation(name + " ends with " + received + ", expected " + newest());
        } else if (!state.equals(inOrder.get(inOrder.size() - 1).state)) {
            reportViolation(
                    name
                            + " ends with a state that differs from that of "
                            + newest()
                            + " in the log");
        }
    }

    /** The last state that a proxy's group accepts, which must be in force at the end. */
    Position newestAccepted(FanoutProcesses.Proxy proxy) {
        for (int i = inOrder.size() - 1; i >= 0; i--) {
            if (proxy.accepts(new TreeMap<>(inOrder.get(i).state))) {
                return inOrder.get(i).position;
            }
        }
        return new Position(0, 0);
    }
}
