package holdproxy.daemon;

import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.Replica;
import holdproxy.fanout.transport.SubscriberClient;
import holdproxy.fanout.transport.TransportContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A proxy or a site's relay: subscribes to changes, applies them to its own proxy and, as a relay, serves the
 * site's proxies. Runs on its own event loop.
 *
 * <p>With a consensus group, a relay serves while it holds the lease on its site's role, so that one relay
 * per site serves at a time; the others stay subscribed and can take over with the state they have.
 */
final class SubscribedProcess implements DistributionPart {
    private static final String RELAY_ROLE_PREFIX = "relay-";

    private final PublishedConfiguration configuration;
    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final TransportContext context = DistributionTransport.contextFor(loop);
    private final SubscriberClient upstream;

    /** Null in a proxy. */
    private final RelayRole relay;

    private boolean advanceScheduled;

    private SubscribedProcess(
            String name, DistributionSettings settings, PublishedConfiguration own) {
        this.configuration = own;
        boolean serves = settings.role().serves();
        upstream =
                new SubscriberClient(
                        context,
                        name,
                        new Replica(context.settings().limits()),
                        (nowUs, position, state, changes) -> {
                            scheduleAdvance();
                            return own.offer(nowUs, position, state, changes);
                        },
                        serves ? this::report : null,
                        new Random());
        relay = serves ? new RelayRole(context, upstream.subscriber(), settings.listen()) : null;
    }

    /** {@code consensus}: null without a consensus group; a relay then always serves. */
    static SubscribedProcess start(
            String name,
            DistributionSettings settings,
            PublishedConfiguration own,
            FreshnessReporter freshness,
            ConsensusPart consensus) {
        SubscribedProcess process = new SubscribedProcess(name, settings, own);
        process.loop.execute(
                () -> {
                    process.upstream.setCandidates(
                            DistributionTransport.candidates(name, settings));
                    process.loop.scheduleAtFixedRate(
                            () -> process.updateFreshness(freshness),
                            FreshnessReporter.UPDATE_INTERVAL_MS,
                            FreshnessReporter.UPDATE_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
                    DistributionTransport.logCounters(process.context);
                    if (process.relay != null && consensus == null) {
                        process.relay.begin();
                    }
                });
        if (process.relay != null && consensus != null) {
            consensus.requestLease(
                    RELAY_ROLE_PREFIX + settings.site(),
                    settings.leaseMs(),
                    process.new RelayLease());
        }
        return process;
    }

    private void updateFreshness(FreshnessReporter freshness) {
        freshness.update(
                configuration.inForce(), upstream.subscriber().ageUs(context.nowUs().getAsLong()));
    }

    /** Coverage of its own proxy and of those that it serves. */
    private CoverageReport report() {
        return CoverageReport.merge(
                List.of(configuration.report(), relay.report()), context.settings().limits());
    }

    /** Deferred, because the calling subscriber may still be applying further changes. */
    private void scheduleAdvance() {
        if (relay != null && !advanceScheduled) {
            advanceScheduled = true;
            loop.execute(
                    () -> {
                        advanceScheduled = false;
                        relay.advanced();
                    });
        }
    }

    @Override
    public void stop() {
        loop.execute(
                () -> {
                    if (relay != null) {
                        relay.end();
                    }
                    upstream.close();
                });
    }

    /** Follows the lease on the site's role; called on the consensus part's event loop. */
    private final class RelayLease implements LeaseListener {
        @Override
        public void granted(long token) {
            loop.execute(relay::begin);
        }

        @Override
        public void ended() {
            loop.execute(relay::end);
        }
    }
}
