package holdproxy.daemon;

import holdproxy.fanout.AppendResult;
import holdproxy.fanout.AppendResult.Appended;
import holdproxy.fanout.AppendResult.Refused;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.Position;
import holdproxy.fanout.Publication;
import holdproxy.fanout.Relay;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Value;
import holdproxy.fanout.transport.TransportContext;
import holdproxy.lease.Lease;
import holdproxy.lease.LeaseClient;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A member of the consensus group that serves relays from the replicated change log. While it holds the
 * publisher lease it appends the changes that operators publish. Runs on the consensus part's event loop.
 */
final class ControlMachine implements DistributionPart, AdminServer.Operations {
    private static final long PROPOSE_TIMEOUT_US = 5_000_000;
    private static final int MAX_PENDING_CHANGES = 64;
    private static final int FOUND_RETRY_MS = 500;
    private static final long MS_PER_S = 1_000;
    private static final long US_PER_MS = 1_000;

    private final String name;
    private final DistributionSettings settings;
    private final PublishedConfiguration configuration;
    private final ConsensusPart consensus;
    private final ReplicatedState state;
    private final EventLoop loop;
    private final TransportContext context;
    private final Relay.Source log = new LocalLog();
    private final RelayRole relay;
    private final AdminServer admin;
    private boolean advanceScheduled;
    private int pendingChanges;

    private ControlMachine(
            String name,
            DistributionSettings settings,
            PublishedConfiguration own,
            ConsensusPart consensus) {
        this.name = name;
        this.settings = settings;
        this.configuration = own;
        this.consensus = consensus;
        state = consensus.state();
        loop = consensus.loop();
        context = DistributionTransport.contextFor(loop);
        relay = new RelayRole(context, log, settings.listen());
        admin = new AdminServer(loop, this);
    }

    static ControlMachine start(
            String name,
            DistributionSettings settings,
            PublishedConfiguration own,
            FreshnessReporter freshness,
            ConsensusPart consensus) {
        ControlMachine machine = new ControlMachine(name, settings, own, consensus);
        machine.loop.execute(() -> machine.begin(freshness));
        consensus.requestLease(
                ReplicatedState.PUBLISHER_ROLE, settings.leaseMs(), machine.new PublisherLease());
        return machine;
    }

    private void begin(FreshnessReporter freshness) {
        state.onChange(this::scheduleAdvance);
        relay.begin();
        admin.listen(settings.admin())
                .addListener(
                        bound ->
                                EventLog.line(
                                        bound.isSuccess()
                                                ? "the admin API listens on "
                                                        + DistributionTransport.formatAddress(
                                                                settings.admin())
                                                : "the admin API cannot listen on "
                                                        + DistributionTransport.formatAddress(
                                                                settings.admin())
                                                        + ": "
                                                        + bound.cause().getMessage()));
        loop.scheduleAtFixedRate(
                () ->
                        freshness.update(
                                configuration.inForce(), log.ageUs(context.nowUs().getAsLong())),
                FreshnessReporter.UPDATE_INTERVAL_MS,
                FreshnessReporter.UPDATE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        DistributionTransport.logCounters(context);
        scheduleAdvance();
    }

    /** Deferred, because the log may still have many entries to apply; at a start, all of them. */
    private void scheduleAdvance() {
        if (!advanceScheduled) {
            advanceScheduled = true;
            loop.execute(this::advance);
        }
    }

    private void advance() {
        advanceScheduled = false;
        relay.advanced();
        Replica replica = log.replica();
        boolean isNew = replica.position().isAfter(configuration.inForce());
        if (isNew) {
            configuration.offer(
                    context.nowUs().getAsLong(), replica.position(), replica.entries(), List.of());
        }
    }

    @Override
    public void stop() {
        loop.execute(
                () -> {
                    relay.end();
                    admin.close();
                });
    }

    // ---- admin API ----

    @Override
    public CompletableFuture<Object> publish(AdminApi.PublishRequest request) {
        LeaseClient.GuardedAction act = consensus.leases().begin(ReplicatedState.PUBLISHER_ROLE);
        if (act == null) {
            return CompletableFuture.completedFuture(
                    new AdminApi.Failure(name + " is not the publisher, " + publisher(), true));
        }
        if (pendingChanges >= MAX_PENDING_CHANGES) {
            act.close();
            return CompletableFuture.completedFuture(
                    new AdminApi.Failure(
                            pendingChanges + " changes are already in progress", true));
        }
        pendingChanges++;
        return consensus
                .propose(
                        ReplicatedState.append(publication(act.token(), request)),
                        PROPOSE_TIMEOUT_US)
                .handle(
                        (answer, failed) -> {
                            pendingChanges--;
                            act.close();
                            return failed != null
                                    ? new AdminApi.Failure(failed.getMessage(), true)
                                    : response(ChangeLogOperations.decodeResult(answer));
                        });
    }

    private static Publication publication(long token, AdminApi.PublishRequest request) {
        TreeMap<String, Value> puts = new TreeMap<>();
        if (request.put() != null) {
            request.put().forEach((key, text) -> puts.put(key, Value.of(text)));
        }
        List<String> removed = request.remove() == null ? List.of() : request.remove();
        String id = request.id() == null ? "" : request.id();
        return new Publication(token, id, puts, new TreeSet<>(removed));
    }

    private static Object response(AppendResult result) {
        if (result instanceof Appended appended) {
            return new AdminApi.Published(
                    appended.position().epoch(), appended.position().number());
        }
        Refused refused = (Refused) result;
        boolean retry =
                switch (refused.reason()) {
                    case NOT_FOUNDED, STALE_TOKEN -> true;
                    default -> false;
                };
        return new AdminApi.Failure(refused.reason() + ": " + refused.detail(), retry);
    }

    private String publisher() {
        Lease lease = state.leases().lease(ReplicatedState.PUBLISHER_ROLE);
        return lease == null ? "" : lease.holder();
    }

    @Override
    public AdminApi.Versions versions() {
        long nowUs = context.nowUs().getAsLong();
        CoverageReport report =
                CoverageReport.merge(
                        List.of(configuration.report(), relay.report()),
                        context.settings().limits());
        List<AdminApi.VersionCount> inForce = new ArrayList<>();
        report.inForce()
                .forEach(
                        each ->
                                inForce.add(
                                        new AdminApi.VersionCount(
                                                each.position().epoch(),
                                                each.position().number(),
                                                each.proxies())));
        List<AdminApi.RejectionView> rejections = new ArrayList<>();
        report.rejections()
                .forEach(
                        each ->
                                rejections.add(
                                        new AdminApi.RejectionView(
                                                each.name(),
                                                each.position().epoch(),
                                                each.position().number(),
                                                each.reason())));
        Position position = state.changes().position();
        long ageUs = log.ageUs(nowUs);
        return new AdminApi.Versions(
                name,
                position.epoch(),
                position.number(),
                publisher(),
                ageUs == Relay.Source.UNKNOWN_AGE_US ? -1 : ageUs / US_PER_MS,
                relay.subscribers(nowUs),
                relay.catchingUp(nowUs),
                report.proxies(),
                inForce,
                report.rejecting(),
                rejections);
    }

    /** Serves the relay from this member's own copy of the change log. */
    private final class LocalLog implements Relay.Source {
        @Override
        public Replica replica() {
            return state.changes().replica();
        }

        @Override
        public long ageUs(long nowUs) {
            return state.changes().position().equals(Position.NONE)
                    ? UNKNOWN_AGE_US
                    : consensus.leaderSilentUs();
        }
    }

    /** Tracks the publisher lease; a new publisher makes sure that the log has an epoch. */
    private final class PublisherLease implements LeaseListener {
        private boolean held;

        @Override
        public void granted(long token) {
            held = true;
            proposeEpoch();
        }

        @Override
        public void ended() {
            held = false;
        }

        /**
         * Proposes the wall clock's seconds as the log's epoch. A log that already has an epoch keeps it; a
         * log that was lost with all its disks gets a higher one.
         */
        private void proposeEpoch() {
            if (!held) {
                return;
            }
            consensus
                    .propose(
                            ReplicatedState.found(System.currentTimeMillis() / MS_PER_S),
                            PROPOSE_TIMEOUT_US)
                    .whenComplete(
                            (answer, failed) -> {
                                if (failed != null) {
                                    loop.schedule(
                                            this::proposeEpoch,
                                            FOUND_RETRY_MS,
                                            TimeUnit.MILLISECONDS);
                                }
                            });
        }
    }
}
