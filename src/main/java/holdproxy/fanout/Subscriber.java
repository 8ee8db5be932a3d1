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
    private static final int MOST_DOUBLINGS = 20;

    /**
     * After a gap the subscriber subscribes again at most once per resubscribe interval divided by this,
     * as one lost message makes each later one look like a gap.
     */
    private static final int GAP_PART = 8;

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
    private final FanoutSettings.SubscriberSettings own;
    private final Replica replica;
    private final Consumer consumer;
    private final Supplier<CoverageReport> below;
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
    private long heardUs;
    private long returnDueUs = NEVER;
    private long lastCallUs;

    private SnapshotAssembly assembly;
    private long progressUs;
    private long askedUs;
    private long askAgainUs;

    private Position inForce;
    private Rejection rejection;
    private CoverageReport reported;
    private long acknowledgedUs;
    private long reportDueUs = NEVER;

    /** When the position held was last known to be the newest; valid if {@link #isFreshnessKnown}. */
    private long freshUs;

    private boolean isFreshnessKnown;

    /**
     * Until this time a message may have been queued while this process was stalled, so heartbeats are
     * not used to determine freshness.
     */
    private long staleMessagesUntilUs;

    /**
     * The newest position in the relay's last heartbeat; {@link #announcedFreshUs} is when that was
     * known to be the newest of all.
     */
    private Position announced = Position.NONE;

    private long announcedFreshUs;

    /** When the relay is to be left because its data is no longer known to be the newest. */
    private long sourceDueUs = NEVER;

    /** Earliest time at which a relay is left again for that reason. */
    private long staleMoveUs;

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
        this.own = settings.subscriber();
        this.replica = replica;
        this.consumer = consumer;
        this.below = below;
        this.output = output;
        this.random = random;
        this.safeguards = Set.copyOf(safeguards);
        candidates = new CandidateList(own);
        inForce = replica.position();
        lastCallUs = nowUs;
        askAgainUs = own.askAgainUs();
    }

    // ---- events ----

    /** Sets the candidates, best first ({@link RendezvousOrder}); the first call starts the subscriber. */
    public void candidates(long nowUs, List<RelayCandidate> ordered) {
        enter(nowUs);
        candidates.replace(ordered);
        if (phase == Phase.IDLE) {
            dialNext(nowUs);
        } else if (relay != null && !candidates.contains(relay)) {
            leave(nowUs, relay.name() + " is no longer a candidate");
        }
    }

    /** Closes the link and stays idle until candidates are set again. */
    public void stop(long nowUs) {
        enter(nowUs);
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
        enter(nowUs);
        if (phase == Phase.CONNECTING && ofLink == link) {
            subscribe(nowUs);
        }
    }

    /** A link has ended, for example because a frame broke the protocol, or could not be opened. */
    public void disconnected(long nowUs, long ofLink, String reason) {
        enter(nowUs);
        if (hasLink() && ofLink == link) {
            lost(nowUs);
        }
    }

    /** A message was received on a link. */
    public void receive(long nowUs, long ofLink, Message message) {
        enter(nowUs);
        if (!hasLink() || ofLink != link) {
            return;
        }
        heardUs = nowUs;
        try {
            take(nowUs, message);
        } catch (ProtocolException e) {
            fail(nowUs, e.getMessage());
        }
    }

    private void take(long nowUs, Message message) {
        if (message instanceof Refuse refuse) {
            refused(nowUs, refuse);
            return;
        }
        if (phase == Phase.CONNECTING) {
            welcomed(nowUs);
        }
        if (message instanceof Heartbeat heartbeat) {
            heartbeat(nowUs, heartbeat);
        } else if (message instanceof Batch batch) {
            batch(nowUs, batch);
        } else if (message instanceof SnapshotPart part) {
            snapshotPart(nowUs, part);
        } else {
            throw new ProtocolException(
                    ProtocolException.Kind.UNEXPECTED,
                    "a relay must not send " + message.getClass().getSimpleName());
        }
    }

    /** Latest time for the next {@link #tick}; may change with every call. */
    public long dueUs() {
        return switch (phase) {
            case IDLE -> NEVER;
            case PAUSING, CONNECTING -> deadlineUs;
            case SUBSCRIBED ->
                    Math.min(
                            Math.min(heardUs + own.heartbeatTimeoutUs(), reportDueUs),
                            Math.min(returnDueUs, sourceDueUs));
        };
    }

    /** Performs timed actions that are due; early or repeated calls are harmless. */
    public void tick(long nowUs) {
        enter(nowUs);
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
            case SUBSCRIBED -> watch(nowUs);
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
        return doubled(own.connectTimeoutUs(), failures, own.connectTimeoutMostUs());
    }

    private void subscribe(long nowUs) {
        assembly = null;
        askedUs = nowUs;
        output.send(link, new Subscribe(name, replica.position()));
    }

    /** The relay has sent its first message. */
    private void welcomed(long nowUs) {
        phase = Phase.SUBSCRIBED;
        deadlineUs = NEVER;
        subscribedUs = nowUs;
        progressUs = nowUs;
        askAgainUs = own.askAgainUs();
        announced = Position.NONE;
        sourceDueUs = NEVER;
        scheduleReturn(nowUs);
        acknowledge(nowUs);
    }

    private void refused(long nowUs, Refuse refuse) {
        candidates.avoid(relay, nowUs + refuse.retryAfterUs());
        output.close(link, "refused: " + refuse.reason() + ": " + refuse.detail());
        pause(nowUs);
    }

    /** Closes the link; the relay is avoided for a while, and the next one is dialled after a pause. */
    private void fail(long nowUs, String reason) {
        output.close(link, reason);
        lost(nowUs);
    }

    private void lost(long nowUs) {
        creditStability(nowUs);
        candidates.failed(relay, nowUs);
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
                                1 + doubled(own.backoffUs(), failures, own.backoffMostUs()));
        failures++;
    }

    private static long doubled(long first, int times, long most) {
        return Math.min(most, first << Math.min(MOST_DOUBLINGS, times));
    }

    // ---- monitoring the relay ----

    /**
     * Called first on every event. Detects a stall of this process by a late timer, and extends the
     * relay's deadlines, since its messages may have been queued meanwhile.
     */
    private void enter(long nowUs) {
        long dueUs = dueUs();
        if (dueUs != NEVER && nowUs - Math.max(dueUs, lastCallUs) > settings.relay().stallUs()) {
            staleMessagesUntilUs = nowUs + settings.relay().heartbeatIntervalUs() / 2;
            heardUs = Math.max(heardUs, nowUs - own.heartbeatTimeoutUs() / 2);
            sourceDueUs = Math.max(sourceDueUs, nowUs + own.sourceAgeUs() / 2);
        }
        lastCallUs = nowUs;
    }

    private void watch(long nowUs) {
        if (nowUs - heardUs >= own.heartbeatTimeoutUs()) {
            fail(
                    nowUs,
                    "no message from " + relay.name() + " for " + (nowUs - heardUs) / 1000 + " ms");
            return;
        }
        creditStability(nowUs);
        if (nowUs >= sourceDueUs) {
            if (candidates.hasOther(relay, nowUs)) {
                leaveSilentSource(nowUs);
                return;
            }
            sourceDueUs = nowUs + own.sourceAgeUs();
        }
        if (nowUs >= returnDueUs) {
            scheduleReturn(nowUs);
            if (candidates.hasBetter(relay, nowUs)) {
                leave(nowUs, "a relay preferred to " + relay.name() + " may be available again");
                return;
            }
        }
        if (nowUs >= reportDueUs) {
            reportWhereDue(nowUs);
        }
    }

    /** Resets the failure counters once the link has held for long enough. */
    private void creditStability(long nowUs) {
        if (phase == Phase.SUBSCRIBED && nowUs - subscribedUs >= own.stableUs()) {
            failures = 0;
            candidates.proved(relay);
        }
    }

    private void scheduleReturn(long nowUs) {
        returnDueUs = nowUs + own.returnUs() / 2 + random.nextLong(own.returnUs());
    }

    /** Leaves a relay that responds but is cut off from its source; another relay may not be. */
    private void leaveSilentSource(long nowUs) {
        staleMoveUs = nowUs + doubled(own.avoidUs(), staleMoves, own.avoidMostUs());
        staleMoves++;
        fail(nowUs, relay.name() + " has had no current data from its source for too long");
    }

    private void heartbeat(long nowUs, Heartbeat heartbeat) {
        Position newest = heartbeat.newest();
        if (newest.epoch() > 0 && isOfLowerEpoch(newest)) {
            leaveOlderHistory(nowUs, newest);
            return;
        }
        if (nowUs >= staleMessagesUntilUs) {
            noteFreshness(nowUs, heartbeat);
        }
        boolean behind = newest.isAfter(replica.position());
        if (behind && nowUs - Math.max(progressUs, askedUs) >= askAgainUs) {
            askAgainUs = Math.min(own.askAgainMostUs(), 2 * askAgainUs);
            subscribe(nowUs);
        }
    }

    private void noteFreshness(long nowUs, Heartbeat heartbeat) {
        long sourceFreshUs = nowUs - heartbeat.ageUs();
        if (heartbeat.ageUs() < own.sourceAgeUs()) {
            staleMoves = 0;
            staleMoveUs = nowUs;
        }
        sourceDueUs =
                Math.max(
                        Math.max(
                                sourceFreshUs + own.sourceAgeUs(),
                                subscribedUs + own.sourceAgeUs() / 2),
                        staleMoveUs);
        if (heartbeat.newest().epoch() > 0 && heartbeat.ageUs() != UNKNOWN_AGE_US) {
            announced = heartbeat.newest();
            announcedFreshUs = sourceFreshUs;
            takeOverFreshness();
        }
    }

    /**
     * Marks the replica as fresh if it holds at least the announced position, which was the newest at
     * the announced time.
     */
    private void takeOverFreshness() {
        if (!announced.equals(Position.NONE) && !announced.isAfter(replica.position())) {
            freshUs = isFreshnessKnown ? Math.max(freshUs, announcedFreshUs) : announcedFreshUs;
            isFreshnessKnown = true;
        }
    }

    // ---- applying changes ----

    private boolean isOfLowerEpoch(Position offered) {
        return offered.epoch() < replica.position().epoch()
                && safeguards.contains(Safeguard.EPOCH_COMPARISON);
    }

    private void leaveOlderHistory(long nowUs, Position offered) {
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
    private Position comparable(Position offered) {
        return safeguards.contains(Safeguard.EPOCH_COMPARISON)
                ? offered
                : new Position(replica.position().epoch(), offered.number());
    }

    private void batch(long nowUs, Batch batch) {
        if (isOfLowerEpoch(batch.predecessor())) {
            leaveOlderHistory(nowUs, batch.predecessor());
            return;
        }
        Position held = replica.position();
        if (!safeguards.contains(Safeguard.PREDECESSOR_CHECK)) {
            apply(nowUs, batch.changes());
        } else if (!comparable(batch.last()).isAfter(held)) {
            duplicates++;
            acknowledge(nowUs);
        } else if (comparable(batch.predecessor()).isAfter(held)) {
            gaps++;
            askAboutGap(nowUs);
        } else {
            long known = held.number() - batch.predecessor().number();
            apply(nowUs, batch.changes().subList((int) known, batch.changes().size()));
        }
    }

    private void apply(long nowUs, List<Change> fresh) {
        fresh.forEach(replica::apply);
        changes += fresh.size();
        progress(nowUs);
        offer(nowUs, fresh);
        acknowledge(nowUs);
    }

    private void snapshotPart(long nowUs, SnapshotPart part) {
        if (isOfLowerEpoch(part.position())) {
            leaveOlderHistory(nowUs, part.position());
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
        if (part.index() == 0 && (assembly == null || !assembly.isSameAs(part))) {
            assembly = new SnapshotAssembly(settings.limits(), part);
        }
        if (assembly == null || !assembly.isSameAs(part) || part.index() > assembly.received()) {
            gaps++;
            askAboutGap(nowUs);
        } else if (part.index() < assembly.received()) {
            duplicates++;
            acknowledge(nowUs);
        } else {
            assemble(nowUs, part);
        }
    }

    private void assemble(long nowUs, SnapshotPart part) {
        assembly.add(part);
        progress(nowUs);
        if (assembly.isWhole() || !safeguards.contains(Safeguard.WHOLE_SNAPSHOT)) {
            replica.reset(assembly.position(), assembly.entries());
            offer(nowUs, List.of());
        }
        if (assembly.isWhole()) {
            assembly = null;
            snapshots++;
        }
        acknowledge(nowUs);
    }

    private void progress(long nowUs) {
        progressUs = nowUs;
        askAgainUs = own.askAgainUs();
    }

    private void askAboutGap(long nowUs) {
        if (nowUs - askedUs >= own.askAgainUs() / GAP_PART) {
            subscribe(nowUs);
        }
    }

    private void offer(long nowUs, List<Change> fresh) {
        Position position = replica.position();
        takeOverFreshness();
        Optional<String> reason = consumer.offer(nowUs, position, replica.entries(), fresh);
        if (reason.isEmpty()) {
            inForce = position;
            rejection = null;
        } else {
            rejected++;
            rejection = new Rejection(name, position, cut(reason.get()));
        }
    }

    private String cut(String reason) {
        return reason.substring(0, Math.min(reason.length(), settings.limits().reasonCharacters()));
    }

    // ---- acknowledging ----

    private CoverageReport report() {
        return below == null ? CoverageReport.ofProxy(inForce, rejection) : below.get();
    }

    private void acknowledge(long nowUs) {
        reported = report();
        acknowledgedUs = nowUs;
        scheduleReport(nowUs);
        Position assembling = assembly == null ? Position.NONE : assembly.position();
        int parts = assembly == null ? 0 : assembly.received();
        output.send(link, new Acknowledge(replica.position(), assembling, parts, reported));
    }

    /**
     * A proxy's report changes only when it acknowledges something, so that a keepalive is all that is
     * due; a relay's report also changes with the proxies below it and is checked more often.
     */
    private void scheduleReport(long nowUs) {
        reportDueUs =
                below == null
                        ? acknowledgedUs + own.keepaliveIntervalUs()
                        : nowUs + own.reportIntervalUs();
    }

    private void reportWhereDue(long nowUs) {
        if (nowUs - acknowledgedUs >= own.keepaliveIntervalUs() || !report().equals(reported)) {
            acknowledge(nowUs);
        } else {
            scheduleReport(nowUs);
        }
    }
}
