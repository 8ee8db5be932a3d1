package holdproxy.fanout;

import holdproxy.fanout.Message.Acknowledge;
import holdproxy.fanout.Message.Batch;
import holdproxy.fanout.Message.Heartbeat;
import holdproxy.fanout.Message.Refuse;
import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.Message.Subscribe;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Receives the history of changes from one relay at a time; used by proxies and, for the upstream side,
 * by relays. Not thread-safe: every call takes the current time in microseconds, which must not
 * decrease.
 *
 * <p>The subscriber dials one candidate after another, subscribes from the position it holds, and
 * applies the changes that follow. A relay that stops sending, offers an older epoch or has itself been
 * cut off from its source for too long is left for the next one, after a pause of exponential backoff
 * with full jitter.
 */
public final class Subscriber implements Relay.Source {
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 20;

    /**
     * After a gap the subscriber subscribes again at most once per resubscribe interval divided by this,
     * as one lost message makes each later one look like a gap.
     */
    private static final int GAP_RESUBSCRIBE_DIVISOR = 8;

    /** The transport of a subscriber. No method may call back into the subscriber before it returns. */
    public interface Output {
        /** Opens a link, and then calls {@link Subscriber#connected} or {@link Subscriber#disconnected}. */
        void dial(long link, RelayCandidate candidate);

        /** Sends a message on an open link; a message that cannot be sent may be dropped. */
        void send(long link, Message message);

        /** Closes a link, even while it is being dialled; need not call {@link Subscriber#disconnected}. */
        void close(long link, String reason);
    }

    /** Receives each new state. */
    public interface Consumer {
        /**
         * Offers a new state. The map is a live view that changes with later states; copy it to keep it.
         *
         * @param position of the state
         * @param state the complete state
         * @param changes the changes since the previous state, in order; empty after a snapshot
         * @return empty if the state is now in force; otherwise the reason for rejecting it, in one line,
         *     and the state accepted last stays in force
         */
        Optional<String> offer(
                long nowUs,
                Position position,
                SortedMap<String, Value> state,
                List<Change> changes);
    }

    private enum Phase {
        IDLE,
        PAUSING,
        CONNECTING,
        SUBSCRIBED
    }

    private final String name;
    private final FanoutSettings settings;
    private final FanoutSettings.SubscriberSettings subscriberSettings;
    private final Replica replica;
    private final Consumer consumer;
    private final Supplier<CoverageReport> downstreamReport;
    private final Output output;
    private final RandomGenerator random;
    private final Set<Safeguard> safeguards;
    private final CandidateList candidates;

    private Phase phase = Phase.IDLE;
    private RelayCandidate relay;
    private long link;

    /** End of the current pause or connection attempt. */
    private long deadlineUs = NEVER;

    private int failures;
    private long subscribedUs;
    private long lastReceivedUs;
    private long preferredCheckDueUs = NEVER;
    private long lastEventUs;

    private SnapshotAssembly assembly;
    private long lastProgressUs;
    private long lastSubscribeUs;
    private long resubscribeDelayUs;

    private Position inForce;
    private Rejection rejection;
    private CoverageReport lastReport;
    private long lastAcknowledgeUs;
    private long reportDueUs = NEVER;

    /** When the position held was last known to be the newest; valid if {@link #isFreshnessKnown}. */
    private long freshUs;

    private boolean isFreshnessKnown;

    /**
     * Until this time a message may have been queued while this process was stalled, so heartbeats are
     * not used to determine freshness.
     */
    private long ignoreFreshnessUntilUs;

    /**
     * The newest position in the relay's last heartbeat; {@link #announcedFreshUs} is when that was
     * known to be the newest of all.
     */
    private Position announcedPosition = Position.NONE;

    private long announcedFreshUs;

    /** When the relay is to be left because its data is no longer known to be the newest. */
    private long staleSourceDueUs = NEVER;

    /** Earliest time at which a relay is left again for that reason. */
    private long nextStaleMoveUs;

    private int staleMoves;

    private long rejected;
    private long moves;
    private long duplicates;
    private long gaps;
    private long lowerEpochs;
    private long snapshots;
    private long changes;

    /**
     * Creates a subscriber that is not started.
     *
     * @param name unique among all subscribers
     * @param replica empty, or restored from a state accepted earlier; only this subscriber may modify it
     * @param consumer receives each new state
     * @param below supplies the report on the proxies below a relay ({@link Relay#report}); null for a proxy
     */
    public Subscriber(
            String name,
            FanoutSettings settings,
            Replica replica,
            Consumer consumer,
            Supplier<CoverageReport> below,
            Output output,
            RandomGenerator random,
            long nowUs) {
        this(name, settings, replica, consumer, below, output, random, nowUs, Safeguard.all());
    }

    /** Creates a subscriber with only some of the safeguards, for the simulation. */
    public Subscriber(
            String name,
            FanoutSettings settings,
            Replica replica,
            Consumer consumer,
            Supplier<CoverageReport> below,
            Output output,
            RandomGenerator random,
            long nowUs,
            Set<Safeguard> safeguards) {
        this.name = name;
        this.settings = settings;
        this.subscriberSettings = settings.subscriber();
        this.replica = replica;
        this.consumer = consumer;
        this.downstreamReport = below;
        this.output = output;
        this.random = random;
        this.safeguards = Set.copyOf(safeguards);
        candidates = new CandidateList(subscriberSettings);
        inForce = replica.position();
        lastEventUs = nowUs;
        resubscribeDelayUs = subscriberSettings.resubscribeUs();
    }

    // ---- events ----

    /** Sets the candidates, best first ({@link RendezvousOrder}); the first call starts the subscriber. */
    public void setCandidates(long nowUs, List<RelayCandidate> ordered) {
        detectStall(nowUs);
        candidates.replace(ordered);
        if (phase == Phase.IDLE) {
            dialNext(nowUs);
        } else if (relay != null && !candidates.contains(relay)) {
            leave(nowUs, relay.name() + " is no longer a candidate");
        }
    }

    /** Closes the link and stays idle until candidates are set again. */
    public void stop(long nowUs) {
        detectStall(nowUs);
        if (hasLink()) {
            output.close(link, name + " is shutting down");
        }
        phase = Phase.IDLE;
        relay = null;
        deadlineUs = NEVER;
        assembly = null;
    }

    /** The dialled link is open. */
    public void connected(long nowUs, long ofLink) {
        detectStall(nowUs);
        if (phase == Phase.CONNECTING && ofLink == link) {
            subscribe(nowUs);
        }
    }

    /** A link has ended, for example because a frame broke the protocol, or could not be opened. */
    public void disconnected(long nowUs, long ofLink, String reason) {
        detectStall(nowUs);
        if (hasLink() && ofLink == link) {
            handleLinkLoss(nowUs);
        }
    }

    /** A message was received on a link. */
    public void receive(long nowUs, long ofLink, Message message) {
        detectStall(nowUs);
        if (!hasLink() || ofLink != link) {
            return;
        }
        lastReceivedUs = nowUs;
        try {
            handle(nowUs, message);
        } catch (ProtocolException e) {
            fail(nowUs, e.getMessage());
        }
    }

    private void handle(long nowUs, Message message) {
        if (message instanceof Refuse refuse) {
            handleRefusal(nowUs, refuse);
            return;
        }
        if (phase == Phase.CONNECTING) {
            handleFirstMessage(nowUs);
        }
        if (message instanceof Heartbeat heartbeat) {
            handleHeartbeat(nowUs, heartbeat);
        } else if (message instanceof Batch batch) {
            handleBatch(nowUs, batch);
        } else if (message instanceof SnapshotPart part) {
            handleSnapshotPart(nowUs, part);
        } else {
            throw new ProtocolException(
                    ProtocolException.Kind.UNEXPECTED,
                    "a relay must not send " + message.getClass().getSimpleName());
        }
    }

    /** Latest time for the next {@link #tick}; may change with every call. */
    public long nextTickUs() {
        return switch (phase) {
            case IDLE -> NEVER;
            case PAUSING, CONNECTING -> deadlineUs;
            case SUBSCRIBED ->
                    Math.min(
                            Math.min(
                                    lastReceivedUs + subscriberSettings.heartbeatTimeoutUs(),
                                    reportDueUs),
                            Math.min(preferredCheckDueUs, staleSourceDueUs));
        };
    }

    /** Performs timed actions that are due; early or repeated calls are harmless. */
    public void tick(long nowUs) {
        detectStall(nowUs);
        switch (phase) {
            case PAUSING -> {
                if (nowUs >= deadlineUs) {
                    dialNext(nowUs);
                }
            }
            case CONNECTING -> {
                if (nowUs >= deadlineUs) {
                    fail(
                            nowUs,
                            "no answer from "
                                    + relay.name()
                                    + " within "
                                    + connectTimeoutUs() / 1000
                                    + " ms");
                }
            }
            case SUBSCRIBED -> checkRelay(nowUs);
            default -> {
                // an idle subscriber has no timed actions
            }
        }
    }

    // ---- status ----

    @Override
    public Replica replica() {
        return replica;
    }

    @Override
    public long ageUs(long nowUs) {
        return isFreshnessKnown ? Math.max(0, nowUs - freshUs) : UNKNOWN_AGE_US;
    }

    /** Status for operators: positions, age, relay and counters since the start. */
    public SubscriberStatus status(long nowUs) {
        return new SubscriberStatus(
                replica.position(),
                inForce,
                ageUs(nowUs),
                phase == Phase.SUBSCRIBED ? relay.name() : "",
                rejection,
                rejected,
                moves,
                duplicates,
                gaps,
                lowerEpochs,
                snapshots,
                changes);
    }

    // ---- selecting a relay ----

    private boolean hasLink() {
        return phase == Phase.CONNECTING || phase == Phase.SUBSCRIBED;
    }

    private void dialNext(long nowUs) {
        relay = candidates.choose(nowUs);
        if (relay == null) {
            phase = Phase.IDLE;
            return;
        }
        phase = Phase.CONNECTING;
        link++;
        deadlineUs = nowUs + connectTimeoutUs();
        output.dial(link, relay);
    }

    private long connectTimeoutUs() {
        return doubled(
                subscriberSettings.connectTimeoutUs(),
                failures,
                subscriberSettings.connectTimeoutMaxUs());
    }

    private void subscribe(long nowUs) {
        assembly = null;
        lastSubscribeUs = nowUs;
        output.send(link, new Subscribe(name, replica.position()));
    }

    /** The relay has sent its first message. */
    private void handleFirstMessage(long nowUs) {
        phase = Phase.SUBSCRIBED;
        deadlineUs = NEVER;
        subscribedUs = nowUs;
        lastProgressUs = nowUs;
        resubscribeDelayUs = subscriberSettings.resubscribeUs();
        announcedPosition = Position.NONE;
        staleSourceDueUs = NEVER;
        schedulePreferredCheck(nowUs);
        acknowledge(nowUs);
    }

    private void handleRefusal(long nowUs, Refuse refuse) {
        candidates.avoid(relay, nowUs + refuse.retryAfterUs());
        output.close(link, "refused: " + refuse.reason() + ": " + refuse.detail());
        pause(nowUs);
    }

    /** Closes the link; the relay is avoided for a while, and the next one is dialled after a pause. */
    private void fail(long nowUs, String reason) {
        output.close(link, reason);
        handleLinkLoss(nowUs);
    }

    private void handleLinkLoss(long nowUs) {
        resetFailuresIfStable(nowUs);
        candidates.recordFailure(relay, nowUs);
        pause(nowUs);
    }

    /** Switches to the best candidate without counting a failure of the current relay. */
    private void leave(long nowUs, String reason) {
        output.close(link, reason);
        moves++;
        assembly = null;
        dialNext(nowUs);
    }

    private void pause(long nowUs) {
        moves++;
        assembly = null;
        phase = Phase.PAUSING;
        deadlineUs =
                nowUs
                        + random.nextLong(
                                1
                                        + doubled(
                                                subscriberSettings.backoffUs(),
                                                failures,
                                                subscriberSettings.backoffMaxUs()));
        failures++;
    }

    private static long doubled(long initial, int doublings, long max) {
        return Math.min(max, initial << Math.min(MAX_DOUBLINGS, doublings));
    }

    // ---- monitoring the relay ----

    /**
     * Called first on every event. Detects a stall of this process by a late timer, and extends the
     * relay's deadlines, since its messages may have been queued meanwhile.
     */
    private void detectStall(long nowUs) {
        long dueUs = nextTickUs();
        if (dueUs != NEVER
                && nowUs - Math.max(dueUs, lastEventUs) > settings.relay().stallThresholdUs()) {
            ignoreFreshnessUntilUs = nowUs + settings.relay().heartbeatIntervalUs() / 2;
            lastReceivedUs =
                    Math.max(lastReceivedUs, nowUs - subscriberSettings.heartbeatTimeoutUs() / 2);
            staleSourceDueUs =
                    Math.max(staleSourceDueUs, nowUs + subscriberSettings.maxSourceAgeUs() / 2);
        }
        lastEventUs = nowUs;
    }

    private void checkRelay(long nowUs) {
        if (nowUs - lastReceivedUs >= subscriberSettings.heartbeatTimeoutUs()) {
            fail(
                    nowUs,
                    "no message from "
                            + relay.name()
                            + " for "
                            + (nowUs - lastReceivedUs) / 1000
                            + " ms");
            return;
        }
        resetFailuresIfStable(nowUs);
        if (nowUs >= staleSourceDueUs) {
            if (candidates.hasOtherAvailable(relay, nowUs)) {
                leaveStaleRelay(nowUs);
                return;
            }
            staleSourceDueUs = nowUs + subscriberSettings.maxSourceAgeUs();
        }
        if (nowUs >= preferredCheckDueUs) {
            schedulePreferredCheck(nowUs);
            if (candidates.hasPreferredAvailable(relay, nowUs)) {
                leave(nowUs, "a relay preferred to " + relay.name() + " may be available again");
                return;
            }
        }
        if (nowUs >= reportDueUs) {
            reportIfDue(nowUs);
        }
    }

    /** Resets the failure counters once the link has held for long enough. */
    private void resetFailuresIfStable(long nowUs) {
        if (phase == Phase.SUBSCRIBED
                && nowUs - subscribedUs >= subscriberSettings.stableAfterUs()) {
            failures = 0;
            candidates.recordSuccess(relay);
        }
    }

    private void schedulePreferredCheck(long nowUs) {
        preferredCheckDueUs =
                nowUs
                        + subscriberSettings.preferredCheckIntervalUs() / 2
                        + random.nextLong(subscriberSettings.preferredCheckIntervalUs());
    }

    /** Leaves a relay that responds but is cut off from its source; another relay may not be. */
    private void leaveStaleRelay(long nowUs) {
        nextStaleMoveUs =
                nowUs
                        + doubled(
                                subscriberSettings.avoidUs(),
                                staleMoves,
                                subscriberSettings.avoidMaxUs());
        staleMoves++;
        fail(nowUs, relay.name() + " has had no current data from its source for too long");
    }

    private void handleHeartbeat(long nowUs, Heartbeat heartbeat) {
        Position newest = heartbeat.newest();
        if (newest.epoch() > 0 && hasLowerEpoch(newest)) {
            leaveRelayWithLowerEpoch(nowUs, newest);
            return;
        }
        if (nowUs >= ignoreFreshnessUntilUs) {
            recordFreshness(nowUs, heartbeat);
        }
        boolean behind = newest.isAfter(replica.position());
        if (behind && nowUs - Math.max(lastProgressUs, lastSubscribeUs) >= resubscribeDelayUs) {
            resubscribeDelayUs =
                    Math.min(subscriberSettings.resubscribeMaxUs(), 2 * resubscribeDelayUs);
            subscribe(nowUs);
        }
    }

    private void recordFreshness(long nowUs, Heartbeat heartbeat) {
        long sourceFreshUs = nowUs - heartbeat.ageUs();
        if (heartbeat.ageUs() < subscriberSettings.maxSourceAgeUs()) {
            staleMoves = 0;
            nextStaleMoveUs = nowUs;
        }
        staleSourceDueUs =
                Math.max(
                        Math.max(
                                sourceFreshUs + subscriberSettings.maxSourceAgeUs(),
                                subscribedUs + subscriberSettings.maxSourceAgeUs() / 2),
                        nextStaleMoveUs);
        if (heartbeat.newest().epoch() > 0 && heartbeat.ageUs() != UNKNOWN_AGE_US) {
            announcedPosition = heartbeat.newest();
            announcedFreshUs = sourceFreshUs;
            updateFreshness();
        }
    }

    /**
     * Marks the replica as fresh if it holds at least the announced position, which was the newest at
     * the announced time.
     */
    private void updateFreshness() {
        if (!announcedPosition.equals(Position.NONE)
                && !announcedPosition.isAfter(replica.position())) {
            freshUs = isFreshnessKnown ? Math.max(freshUs, announcedFreshUs) : announcedFreshUs;
            isFreshnessKnown = true;
        }
    }

    // ---- applying changes ----

    private boolean hasLowerEpoch(Position offered) {
        return offered.epoch() < replica.position().epoch()
                && safeguards.contains(Safeguard.EPOCH_COMPARISON);
    }

    private void leaveRelayWithLowerEpoch(long nowUs, Position offered) {
        lowerEpochs++;
        fail(
                nowUs,
                relay.name()
                        + " offers epoch "
                        + offered.epoch()
                        + ", older than "
                        + replica.position().epoch());
    }

    /** With the epoch comparison disabled, replaces the epoch by the replica's own. */
    private Position withComparableEpoch(Position offered) {
        return safeguards.contains(Safeguard.EPOCH_COMPARISON)
                ? offered
                : new Position(replica.position().epoch(), offered.number());
    }

    private void handleBatch(long nowUs, Batch batch) {
        if (hasLowerEpoch(batch.predecessor())) {
            leaveRelayWithLowerEpoch(nowUs, batch.predecessor());
            return;
        }
        Position held = replica.position();
        if (!safeguards.contains(Safeguard.PREDECESSOR_CHECK)) {
            apply(nowUs, batch.changes());
        } else if (!withComparableEpoch(batch.last()).isAfter(held)) {
            duplicates++;
            acknowledge(nowUs);
        } else if (withComparableEpoch(batch.predecessor()).isAfter(held)) {
            gaps++;
            resubscribeAfterGap(nowUs);
        } else {
            long alreadyApplied = held.number() - batch.predecessor().number();
            apply(nowUs, batch.changes().subList((int) alreadyApplied, batch.changes().size()));
        }
    }

    private void apply(long nowUs, List<Change> newChanges) {
        newChanges.forEach(replica::apply);
        changes += newChanges.size();
        recordProgress(nowUs);
        offerToConsumer(nowUs, newChanges);
        acknowledge(nowUs);
    }

    private void handleSnapshotPart(long nowUs, SnapshotPart part) {
        if (hasLowerEpoch(part.position())) {
            leaveRelayWithLowerEpoch(nowUs, part.position());
            return;
        }
        boolean needed =
                part.position().isAfter(replica.position())
                        || !safeguards.contains(Safeguard.EPOCH_COMPARISON)
                                && part.position().epoch() != replica.position().epoch();
        if (!needed) {
            duplicates++;
            acknowledge(nowUs);
            return;
        }
        if (part.index() == 0 && (assembly == null || !assembly.isSameSnapshot(part))) {
            assembly = new SnapshotAssembly(settings.limits(), part);
        }
        if (assembly == null
                || !assembly.isSameSnapshot(part)
                || part.index() > assembly.receivedParts()) {
            gaps++;
            resubscribeAfterGap(nowUs);
        } else if (part.index() < assembly.receivedParts()) {
            duplicates++;
            acknowledge(nowUs);
        } else {
            addSnapshotPart(nowUs, part);
        }
    }

    private void addSnapshotPart(long nowUs, SnapshotPart part) {
        assembly.add(part);
        recordProgress(nowUs);
        if (assembly.isComplete() || !safeguards.contains(Safeguard.WHOLE_SNAPSHOT)) {
            replica.reset(assembly.position(), assembly.entries());
            offerToConsumer(nowUs, List.of());
        }
        if (assembly.isComplete()) {
            assembly = null;
            snapshots++;
        }
        acknowledge(nowUs);
    }

    private void recordProgress(long nowUs) {
        lastProgressUs = nowUs;
        resubscribeDelayUs = subscriberSettings.resubscribeUs();
    }

    private void resubscribeAfterGap(long nowUs) {
        if (nowUs - lastSubscribeUs
                >= subscriberSettings.resubscribeUs() / GAP_RESUBSCRIBE_DIVISOR) {
            subscribe(nowUs);
        }
    }

    private void offerToConsumer(long nowUs, List<Change> newChanges) {
        Position position = replica.position();
        updateFreshness();
        Optional<String> reason = consumer.offer(nowUs, position, replica.entries(), newChanges);
        if (reason.isEmpty()) {
            inForce = position;
            rejection = null;
        } else {
            rejected++;
            rejection = new Rejection(name, position, truncate(reason.get()));
        }
    }

    private String truncate(String reason) {
        return reason.substring(0, Math.min(reason.length(), settings.limits().reasonCharacters()));
    }

    // ---- acknowledging ----

    private CoverageReport report() {
        return downstreamReport == null
                ? CoverageReport.ofProxy(inForce, rejection)
                : downstreamReport.get();
    }

    private void acknowledge(long nowUs) {
        lastReport = report();
        lastAcknowledgeUs = nowUs;
        scheduleReport(nowUs);
        Position assembling = assembly == null ? Position.NONE : assembly.position();
        int parts = assembly == null ? 0 : assembly.receivedParts();
        output.send(link, new Acknowledge(replica.position(), assembling, parts, lastReport));
    }

    /**
     * A proxy's report changes only when it acknowledges something, so that a keepalive is all that is
     * due; a relay's report also changes with the proxies below it and is checked more often.
     */
    private void scheduleReport(long nowUs) {
        reportDueUs =
                downstreamReport == null
                        ? lastAcknowledgeUs + subscriberSettings.keepaliveIntervalUs()
                        : nowUs + subscriberSettings.reportIntervalUs();
    }

    private void reportIfDue(long nowUs) {
        if (nowUs - lastAcknowledgeUs >= subscriberSettings.keepaliveIntervalUs()
                || !report().equals(lastReport)) {
            acknowledge(nowUs);
        } else {
            scheduleReport(nowUs);
        }
    }
}
