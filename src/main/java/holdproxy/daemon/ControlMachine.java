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
    private static final long PROPOSE_WITHIN_US = 5_000_000;
    private static final int MOST_UNDER_WAY = 64;
    private static final int FOUND_AGAIN_MS = 500;
    private static final long MS_PER_S = 1_000;
    private static final long US_PER_MS = 1_000;

    private final String name;
    private final DistributionSettings settings;
    private final PublishedConfiguration own;
    private final ConsensusPart consensus;
    private final ReplicatedState state;
    private final EventLoop loop;
    private final TransportContext context;
    private final Relay.Source log = new LocalLog();
    private final RelayRole relay;
    private final AdminServer admin;
    private boolean advancing;
    private int underWay;

    private ControlMachine(
            String name,
            DistributionSettings settings,
            PublishedConfiguration own,
            ConsensusPart consensus) {
        this.name = name;
        this.settings = settings;
        this.own = own;
        this.consensus = consensus;
        state = consensus.state();
        loop = consensus.loop();
        context = DistributionTransport.on(loop);
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
        consensus.want(ReplicatedState.PUBLISHER, settings.leaseMs(), machine.new Publishing());
        return machine;
    }

    private void begin(FreshnessReporter freshness) {
        state.onChange(this::advanceSoon);
        relay.begin();
        admin.listen(settings.admin())
                .addListener(
                        bound ->
                                EventLog.line(
                                        bound.isSuccess()
                                                ? "the admin API listens on "
                                                        + DistributionTransport.text(
                                                                settings.admin())
                                                : "the admin API cannot listen on "
                                                        + DistributionTransport.text(
                                                                settings.admin())
                                                        + ": "
                                                        + bound.cause().getMessage()));
        loop.scheduleAtFixedRate(
                () -> freshness.look(own.inForce(), log.ageUs(context.nowUs().getAsLong())),
                FreshnessReporter.LOOK_MS,
                FreshnessReporter.LOOK_MS,
                TimeUnit.MILLISECONDS);
        DistributionTransport.logCounters(context);
        advanceSoon();
    }

    /** Deferred, because the log may still have many entries to apply; at a start, all of them. */
    private void advanceSoon() {
        if (!advancing) {
            advancing = true;
            loop.execute(this::advance);
        }
    }

    private void advance() {
        advancing = false;
        relay.advanced();
        Replica replica = log.replica();
        boolean isNew = replica.position().isAfter(own.inForce());
        if (isNew) {
            own.offer(
                    context.nowUs().getAsLong(), replica.position(), replica.entries(), List.of());
        }
    }

    @Override
    public void end() {
        loop.execute(
                () -> {
                    relay.end();
                    admin.close();
                });
    }

    // ---- admin API ----

    @Override
    public CompletableFuture<Object> publish(AdminApi.PublishRequest request) {
        LeaseClient.Act act = consensus.leases().begin(ReplicatedState.PUBLISHER);
        if (act == null) {
            return CompletableFuture.completedFuture(
                    new AdminApi.Failure(name + " is not the publisher, " + publisher(), true));
        }
        if (underWay >= MOST_UNDER_WAY) {
            act.close();
            return CompletableFuture.completedFuture(
                    new AdminApi.Failure(underWay + " changes are already in progress", true));
        }
        underWay++;
        return consensus
                .propose(
                        ReplicatedState.append(publication(act.token(), request)),
                        PROPOSE_WITHIN_US)
                .handle(
                        (answer, failed) -> {
                            underWay--;
                            act.close();
                            return failed != null
                                    ? new AdminApi.Failure(failed.getMessage(), true)
                                    : said(ChangeLogOperations.result(answer));
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

    private static Object said(AppendResult result) {
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
        Lease lease = state.leases().lease(ReplicatedState.PUBLISHER);
        return lease == null ? "" : lease.holder();
    }

    @Override
    public AdminApi.Versions versions() {
        long nowUs = context.nowUs().getAsLong();
        CoverageReport report =
                CoverageReport.merge(
                        List.of(own.report(), relay.report()), context.settings().limits());
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
    private final class Publishing implements LeaseListener {
        private boolean holds;

        @Override
        public void granted(long token) {
            holds = true;
            found();
        }

        @Override
        public void ended() {
            holds = false;
        }

        /**
         * Proposes the wall clock's seconds as the log's epoch. A log that already has an epoch keeps it; a
         * log that was lost with all its disks gets a higher one.
         */
        private void found() {
            if (!holds) {
                return;
            }
            consensus
                    .propose(
                            ReplicatedState.found(System.currentTimeMillis() / MS_PER_S),
                            PROPOSE_WITHIN_US)
                    .whenComplete(
                            (answer, failed) -> {
                                if (failed != null) {
                                    loop.schedule(
                                            this::found, FOUND_AGAIN_MS, TimeUnit.MILLISECONDS);
                                }
                            });
        }
    }
}
