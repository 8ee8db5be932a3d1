package holdproxy.daemon;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.RendezvousOrder;
import holdproxy.fanout.transport.TransportContext;
import holdproxy.fanout.transport.TransportCounters;
import holdproxy.net.Config;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Transport helpers shared by the parts of a daemon that distribute changes. */
final class DistributionTransport {
    private static final int COUNTERS_INTERVAL_S = 10;
    private static final int NS_PER_US = 1_000;

    private DistributionTransport() {}

    static TransportContext contextFor(EventLoop loop) {
        long startNs = System.nanoTime();
        return new TransportContext(
                loop,
                FanoutSettings.DEFAULTS,
                () -> (System.nanoTime() - startNs) / NS_PER_US,
                text -> Config.address(text, "an address in upstream"),
                new TransportCounters(),
                EventLog::line);
    }

    /** Logs the transport counters periodically while the loop runs. */
    static void logCounters(TransportContext context) {
        context.loop()
                .scheduleAtFixedRate(
                        () -> {
                            TransportCounters.Snapshot snapshot = context.counters().snapshot();
                            EventLog.event(
                                    "distribution",
                                    "bytes_in",
                                    snapshot.bytesReceived(),
                                    "bytes_out",
                                    snapshot.bytesSent(),
                                    "messages_in",
                                    snapshot.messagesReceived(),
                                    "messages_out",
                                    snapshot.messagesSent(),
                                    "dropped",
                                    snapshot.messagesDropped(),
                                    "connections",
                                    snapshot.connectionsOpen(),
                                    "links_ended",
                                    snapshot.linksDropped());
                        },
                        COUNTERS_INTERVAL_S,
                        COUNTERS_INTERVAL_S,
                        java.util.concurrent.TimeUnit.SECONDS);
    }

    /** The relays to subscribe to, best first; rendezvous hashing spreads processes over them. */
    static List<RelayCandidate> candidates(String name, DistributionSettings settings) {
        List<RelayCandidate> candidates = new ArrayList<>();
        settings.upstream().forEach(each -> candidates.add(candidate(each, settings.site())));
        settings.fallback().forEach(each -> candidates.add(candidate(each, "")));
        return RendezvousOrder.of(name, settings.site(), candidates);
    }

    private static RelayCandidate candidate(InetSocketAddress address, String site) {
        String text = formatAddress(address);
        return new RelayCandidate(text, text, site);
    }

    /** Formats an address as configuration files have it. */
    static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
