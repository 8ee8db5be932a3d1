package holdproxy.fanout;

import holdproxy.fanout.Message.Acknowledge;
import holdproxy.fanout.Message.Batch;
import holdproxy.fanout.Message.Heartbeat;
import holdproxy.fanout.Message.Refuse;
import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.Message.Subscribe;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Serves subscribers from a source: the local {@link ChangeLog} on a control machine, a {@link
 * Subscriber} on a relay. Not thread-safe: every call takes the current time in microseconds, which must
 * not decrease.
 *
 * <p>A subscriber has at most one unacknowledged batch or snapshot part, of at most the credit in bytes;
 * so a slow reader costs the relay only a position and does not delay others. Subscribers that are
 * behind by at most the credit get changes at once; those further behind share a token bucket, first all
 * that need only changes, then those that need a snapshot.
 */
public final class Relay {
    private static final long NEVER = Long.MAX_VALUE;

    /** Where a relay gets its changes from. */
    public interface Source {
        /** The age if the replica has never been known to be the newest. */
        long UNKNOWN_AGE_US = Long.MAX_VALUE;

        /** Always the same instance; its owner calls {@link Relay#sourceChanged} after each change. */
        Replica replica();

        /** Time since the replica was last known to be the newest, or {@link #UNKNOWN_AGE_US}. */
        long ageUs(long nowUs);
    }

    /** The transport of a relay. Neither method may call back into the relay before it returns. */
    public interface Output {
        /**
         * Sends a message, or drops it if it cannot be sent. The same instance is often sent to many links
         * in succession, so a transport that caches the last encoding by identity encodes it only once.
         */
        void send(long link, Message message);

        /** Closes a link after flushing sent messages; need not call {@link Relay#disconnected}. */
        void close(long link, String reason);
    }

    private final FanoutSettings settings;
    private final FanoutSettings.RelaySettings relaySettings;
    private final Source source;
    private final Output output;
    private final Set<Safeguard> safeguards;
    private final Map<Long, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, Subscription> byName = new HashMap<>();

    /** Subscribers that are behind, in the order in which they fell behind or subscribed. */
    private final LinkedHashSet<Subscription> catchingUp = new LinkedHashSet<>();

    /** Oldest first. */
    private final ArrayDeque<FrozenSnapshot> snapshots = new ArrayDeque<>();

    private final TokenBucket catchUpBucket;
    private long heartbeatDueUs;
    private long catchUpDueUs = NEVER;
    private Batch lastBatch;

    /** The newest position when {@link #lastBatch} was created. */
    private Position lastBatchNewest;

    private long batches;
    private long snapshotParts;
    private long catchUpBytes;
    private long droppedSlow;
    private long droppedSilent;
    private long refused;

    /** Creates a relay with all safeguards. */
    public Relay(FanoutSettings settings, Source source, Output output, long nowUs) {
        this(settings, source, output, nowUs, Safeguard.all());
    }

    /** Creates a relay with only some of the safeguards, for the simulation. */
    public Relay(
            FanoutSettings settings,
            Source source,
            Output output,
            long nowUs,
            Set<Safeguard> safeguards) {
        this.settings = settings;
        this.relaySettings = settings.relay();
        this.source = source;
        this.output = output;
        this.safeguards = Set.copyOf(safeguards);
        catchUpBucket =
                new TokenBucket(
                        relaySettings.catchUpBytesPerSecond(),
                        relaySettings.catchUpBurstBytes(),
                        nowUs);
        heartbeatDueUs = nowUs + relaySettings.heartbeatIntervalUs();
    }

    // ---- events ----

    /** A message was received on a link; the first one must be a {@link Subscribe}. */
    public void receive(long nowUs, long link, Message message) {
        if (message instanceof Subscribe subscribe) {
            subscribe(nowUs, link, subscribe);
        } else if (message instanceof Acknowledge acknowledge) {
            acknowledge(nowUs, link, acknowledge);
        } else {
            drop(
                    link,
                    "UNEXPECTED: a subscriber must not send " + message.getClass().getSimpleName());
        }
    }

    /** A link has ended. */
    public void disconnected(long nowUs, long link) {
        remove(link);
        sendCatchUp(nowUs);
    }

    /** The source's replica has changed. */
    public void sourceChanged(long nowUs) {
        for (Subscription each : List.copyOf(subscriptions.values())) {
            if (each.live) {
                sendLive(nowUs, each);
            }
        }
        sendCatchUp(nowUs);
    }

    /** Latest time for the next {@link #tick}; may change with every call. */
    public long nextTickUs() {
        return Math.min(heartbeatDueUs, catchUpDueUs);
    }

    /** Performs timed actions that are due; early or repeated calls are harmless. */
    public void tick(long nowUs) {
        if (nowUs >= heartbeatDueUs) {
            extendDeadlinesAfterStall(nowUs - heartbeatDueUs);
            heartbeatDueUs = nowUs + relaySettings.heartbeatIntervalUs();
            dropUnresponsive(nowUs);
            Heartbeat heartbeat = heartbeat(nowUs);
            subscriptions.keySet().forEach(link -> output.send(link, heartbeat));
            removeUnusedSnapshots();
        }
        if (nowUs >= catchUpDueUs) {
            sendCatchUp(nowUs);
        }
    }

    /** Refuses all subscribers, so that they move to other relays, because this process shuts down. */
    public void shutDown(long nowUs) {
        Refuse refuse =
                new Refuse(
                        Refuse.Reason.SHUTTING_DOWN,
                        "the relay is shutting down",
                        relaySettings.retryAfterUs());
        for (long link : List.copyOf(subscriptions.keySet())) {
            output.send(link, refuse);
            drop(link, refuse.detail());
        }
        catchUpDueUs = NEVER;
    }

    // ---- status ----

    /** Which positions the proxies below this relay have in force. */
    public CoverageReport report() {
        List<CoverageReport> reports = new ArrayList<>(subscriptions.size());
        subscriptions.values().forEach(each -> reports.add(each.report));
        return CoverageReport.merge(reports, settings.limits());
    }

    /** Status for operators: position, age, subscribers and counters since the start. */
    public RelayStatus status(long nowUs) {
        return new RelayStatus(
                newest(),
                source.ageUs(nowUs),
                subscriptions.size(),
                catchingUp.size(),
                batches,
                snapshotParts,
                catchUpBytes,
                droppedSlow,
                droppedSilent,
                refused);
    }

    // ---- subscribing ----

    private void subscribe(long nowUs, long link, Subscribe subscribe) {
        Position newest = newest();
        boolean subscriberIsAhead = newest.epoch() > 0 && subscribe.held().epoch() > newest.epoch();
        if (subscriberIsAhead && safeguards.contains(Safeguard.EPOCH_COMPARISON)) {
            refuse(
                    link,
                    Refuse.Reason.BEHIND,
                    "the relay holds epoch "
                            + newest.epoch()
                            + ", the subscriber "
                            + subscribe.held().epoch());
            return;
        }
        Subscription subscription = subscriptions.get(link);
        if (subscription != null && !subscription.name.equals(subscribe.name())) {
            drop(link, "UNEXPECTED: " + subscription.name + " subscribes as " + subscribe.name());
            return;
        }
        if (subscription == null) {
            subscription = admit(link, subscribe.name());
            if (subscription == null) {
                return;
            }
        }
        subscription.restart(subscribe.held());
        subscription.lastReceivedUs = nowUs;
        output.send(link, heartbeat(nowUs));
        catchingUp.add(subscription);
        sendCatchUp(nowUs);
    }

    /** Returns null if the relay is full. */
    private Subscription admit(long link, String name) {
        Subscription previous = byName.get(name);
        if (previous != null) {
            drop(previous.link, name + " has subscribed on another link");
        }
        if (subscriptions.size() >= relaySettings.maxSubscribers()) {
            refuse(
                    link,
                    Refuse.Reason.FULL,
                    "the relay already serves " + subscriptions.size() + " subscribers");
            return null;
        }
        Subscription subscription = new Subscription(link, name);
        subscriptions.put(link, subscription);
        byName.put(name, subscription);
        return subscription;
    }

    private void refuse(long link, Refuse.Reason reason, String detail) {
        refused++;
        output.send(link, new Refuse(reason, detail, relaySettings.retryAfterUs()));
        drop(link, reason + ": " + detail);
    }

    private void acknowledge(long nowUs, long link, Acknowledge acknowledge) {
        Subscription subscription = subscriptions.get(link);
        if (subscription == null) {
            drop(link, "UNEXPECTED: an acknowledgement without a subscription");
            return;
        }
        subscription.lastReceivedUs = nowUs;
        subscription.report = acknowledge.report();
        subscription.recordAcknowledgement(acknowledge);
        if (subscription.live) {
            sendLive(nowUs, subscription);
        }
        sendCatchUp(nowUs);
    }

    // ---- sending ----

    private Position newest() {
        return source.replica().position();
    }

    private Heartbeat heartbeat(long nowUs) {
        return new Heartbeat(newest(), Math.max(0, source.ageUs(nowUs)));
    }

    private boolean isOutOfCredit(Subscription subscription) {
        return subscription.unacknowledged != null && safeguards.contains(Safeguard.CREDIT);
    }

    private boolean isUpToDate(Subscription subscription) {
        Position newest = newest();
        return subscription.snapshot == null
                && subscription.sentPosition.epoch() == newest.epoch()
                && subscription.sentPosition.number() >= newest.number();
    }

    private boolean isCoveredByWindow(Subscription subscription) {
        return subscription.snapshot == null && source.replica().covers(subscription.sentPosition);
    }

    /**
     * Whether the window covers the missing changes and sending them is preferred to a snapshot: they
     * are no larger than the state, or a snapshot has already been sent.
     */
    private boolean catchesUpByChanges(Subscription subscription) {
        return isCoveredByWindow(subscription)
                && (subscription.snapshotSent
                        || changesAreCheaperThanSnapshot(subscription.sentPosition));
    }

    private boolean changesAreCheaperThanSnapshot(Position covered) {
        Replica replica = source.replica();
        return replica.bytesAfter(covered)
                <= Math.max(relaySettings.creditBytes(), replica.stateBytes());
    }

    private void sendLive(long nowUs, Subscription subscription) {
        if (isOutOfCredit(subscription) || isUpToDate(subscription)) {
            return;
        }
        if (isCoveredByWindow(subscription)) {
            Batch batch = nextBatch(subscription);
            if (batch.last().equals(newest())) {
                sendBatch(nowUs, subscription, batch);
                return;
            }
        }
        // more than a credit behind; possibly every subscriber is, if the source itself has just
        // caught up
        subscription.markBehind();
        catchingUp.add(subscription);
    }

    /** Spends the token bucket on subscribers that need only changes first, then on snapshots. */
    private void sendCatchUp(long nowUs) {
        catchUpDueUs = NEVER;
        if (newest().epoch() == 0 || catchingUp.isEmpty()) {
            return;
        }
        List<Subscription> waiting = List.copyOf(catchingUp);
        for (Subscription each : waiting) {
            if (!sendCatchUpChanges(nowUs, each)) {
                return;
            }
        }
        for (Subscription each : waiting) {
            if (!sendCatchUpSnapshot(nowUs, each)) {
                return;
            }
        }
    }

    /** Returns false if the token bucket is empty. */
    private boolean sendCatchUpChanges(long nowUs, Subscription subscription) {
        if (isUpToDate(subscription)) {
            markLive(subscription);
            return true;
        }
        if (isOutOfCredit(subscription) || !catchesUpByChanges(subscription)) {
            return true;
        }
        Batch batch = nextBatch(subscription);
        if (!takeCatchUpTokens(nowUs, bytes(batch))) {
            return false;
        }
        sendBatch(nowUs, subscription, batch);
        if (isUpToDate(subscription)) {
            markLive(subscription);
        }
        return true;
    }

    /** Returns false if the token bucket is empty. */
    private boolean sendCatchUpSnapshot(long nowUs, Subscription subscription) {
        if (subscription.live || isOutOfCredit(subscription) || catchesUpByChanges(subscription)) {
            return true;
        }
        if (subscription.snapshot == null
                || !source.replica().covers(subscription.snapshot.position())) {
            subscription.abandonSnapshot();
            subscription.snapshot = currentSnapshot();
        }
        FrozenSnapshot snapshot = subscription.snapshot;
        int bytes = snapshot.bytes(subscription.nextPartIndex);
        if (!takeCatchUpTokens(nowUs, bytes)) {
            return false;
        }
        SnapshotPart part = snapshot.part(subscription.nextPartIndex++);
        subscription.recordSent(part, nowUs);
        if (part.isLast()) {
            subscription.sentPosition = snapshot.position();
            subscription.snapshotSent = true;
            subscription.abandonSnapshot();
        }
        snapshotParts++;
        output.send(subscription.link, part);
        return true;
    }

    private void markLive(Subscription subscription) {
        subscription.live = true;
        catchingUp.remove(subscription);
    }

    private boolean takeCatchUpTokens(long nowUs, int bytes) {
        if (safeguards.contains(Safeguard.CATCH_UP_PACING) && !catchUpBucket.take(nowUs, bytes)) {
            catchUpDueUs = Math.max(nowUs + 1, catchUpBucket.availableUs(bytes));
            return false;
        }
        catchUpBytes += bytes;
        return true;
    }

    /** Returns the same instance for all subscribers at the same position. */
    private Batch nextBatch(Subscription subscription) {
        if (lastBatch == null
                || !lastBatch.predecessor().equals(subscription.sentPosition)
                || !lastBatchNewest.equals(newest())) {
            lastBatch =
                    new Batch(
                            subscription.sentPosition,
                            source.replica()
                                    .after(subscription.sentPosition, relaySettings.creditBytes()));
            lastBatchNewest = newest();
        }
        return lastBatch;
    }

    private void sendBatch(long nowUs, Subscription subscription, Batch batch) {
        subscription.recordSent(batch, nowUs);
        subscription.sentPosition = batch.last();
        batches++;
        output.send(subscription.link, batch);
    }

    private static int bytes(Batch batch) {
        int bytes = 0;
        for (Change change : batch.changes()) {
            bytes += change.sizeBytes();
        }
        return bytes;
    }

    // ---- snapshots ----

    /** Returns the last snapshot if the changes since then are no larger than the state, else a new one. */
    private FrozenSnapshot currentSnapshot() {
        FrozenSnapshot newest = snapshots.peekLast();
        Replica replica = source.replica();
        if (newest != null
                && replica.covers(newest.position())
                && changesAreCheaperThanSnapshot(newest.position())) {
            return newest;
        }
        FrozenSnapshot frozen = FrozenSnapshot.of(replica, relaySettings.creditBytes());
        snapshots.add(frozen);
        if (snapshots.size() > relaySettings.snapshots()) {
            FrozenSnapshot oldest = snapshots.removeFirst();
            subscriptions.values().stream()
                    .filter(each -> each.snapshot == oldest)
                    .forEach(Subscription::abandonSnapshot);
        }
        return frozen;
    }

    private void removeUnusedSnapshots() {
        snapshots.removeIf(
                snapshot ->
                        subscriptions.values().stream()
                                .noneMatch(each -> each.snapshot == snapshot));
    }

    // ---- dropping ----

    /** Extends the subscribers' deadlines by the time for which this process was stalled. */
    private void extendDeadlinesAfterStall(long lateUs) {
        if (lateUs > relaySettings.stallThresholdUs()) {
            for (Subscription each : subscriptions.values()) {
                each.lastReceivedUs += lateUs;
                each.unacknowledgedSinceUs += lateUs;
            }
        }
    }

    private void dropUnresponsive(long nowUs) {
        for (Subscription each : List.copyOf(subscriptions.values())) {
            if (each.unacknowledged != null
                    && nowUs - each.unacknowledgedSinceUs >= relaySettings.acknowledgeTimeoutUs()) {
                droppedSlow++;
                drop(
                        each.link,
                        each.name
                                + " has acknowledged nothing for "
                                + (nowUs - each.unacknowledgedSinceUs) / 1000
                                + " ms");
            } else if (nowUs - each.lastReceivedUs >= relaySettings.silenceTimeoutUs()) {
                droppedSilent++;
                drop(
                        each.link,
                        each.name
                                + " has said nothing for "
                                + (nowUs - each.lastReceivedUs) / 1000
                                + " ms");
            }
        }
    }

    private void drop(long link, String reason) {
        remove(link);
        output.close(link, reason);
    }

    private void remove(long link) {
        Subscription subscription = subscriptions.remove(link);
        if (subscription != null) {
            byName.remove(subscription.name, subscription);
            catchingUp.remove(subscription);
        }
    }
}
