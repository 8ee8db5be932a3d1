package holdproxy.daemon;

import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.Relay;
import holdproxy.fanout.transport.RelayServer;
import holdproxy.fanout.transport.TransportContext;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Serves subscribers while this process has the relay role. It listens only then, so that subscribers find a
 * closed port otherwise and try the next candidate. Runs on the context's event loop.
 */
final class RelayRole {
    private static final int BIND_RETRY_MS = 500;

    private final TransportContext context;
    private final Relay.Source source;
    private final InetSocketAddress address;

    /** Null while this process does not serve. */
    private RelayServer server;

    RelayRole(TransportContext context, Relay.Source source, InetSocketAddress address) {
        this.context = context;
        this.source = source;
        this.address = address;
    }

    void begin() {
        if (server == null) {
            listen();
        }
    }

    /** Stops serving; subscribers switch to other candidates. */
    void end() {
        if (server != null) {
            server.close();
            server = null;
            EventLog.event("relay ended", "address", DistributionTransport.formatAddress(address));
        }
    }

    /** To be called when the source has changed. */
    void advanced() {
        if (server != null) {
            server.sourceChanged();
        }
    }

    /** The versions in force at the proxies it serves. */
    CoverageReport report() {
        return server == null ? CoverageReport.EMPTY : server.relay().report();
    }

    int subscribers(long nowUs) {
        return server == null ? 0 : server.relay().status(nowUs).subscribers();
    }

    /** The number of subscribers that are behind. */
    int catchingUp(long nowUs) {
        return server == null ? 0 : server.relay().status(nowUs).catchingUp();
    }

    private void listen() {
        RelayServer opened = new RelayServer(context, source);
        server = opened;
        opened.listen(address)
                .addListener(
                        bound -> {
                            if (bound.isSuccess()) {
                                EventLog.event(
                                        "relay serves",
                                        "address",
                                        DistributionTransport.formatAddress(address));
                                return;
                            }
                            EventLog.line(
                                    "cannot listen for subscribers on "
                                            + DistributionTransport.formatAddress(address)
                                            + ", retrying: "
                                            + bound.cause().getMessage());
                            context.loop()
                                    .schedule(
                                            () -> retryListen(opened),
                                            BIND_RETRY_MS,
                                            TimeUnit.MILLISECONDS);
                        });
    }

    private void retryListen(RelayServer failed) {
        failed.close();
        if (server == failed) {
            listen();
        }
    }
}
