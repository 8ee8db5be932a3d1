package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Discovery's watch without a proxy around it: the same calls, framing, parsing and limits, and no connection
 * to any node. For measurements of how the watch bears many proxies. On one event loop.
 */
public final class DiscoveryWatch {
    /** Hears of lists, on the event loop. */
    public interface Listener {
        /**
         * A list of this version has come, whole or of changes, with so many entries; the last of them has
         * been started at this Unix time.
         */
        void list(boolean whole, long version, int entries, long lastStartedUnixUs);

        /** The call has ended without one; it is for the listener to call {@link #open} again. */
        void failed();
    }

    private final Discovery discovery;

    /** {@code unixUs}: a clock in microseconds since 1970; {@code log} takes lines. */
    public DiscoveryWatch(
            Config config,
            Transport transport,
            LongSupplier unixUs,
            Consumer<String> log,
            Listener listener) {
        Time time = new Time(Ticker.systemTicker(), System::currentTimeMillis);
        discovery =
                new Discovery(new Lists(unixUs, listener), config, transport, new Log(time, log));
    }

    /** Opens the watch from the version that is held, unless one is open. */
    public void open() {
        discovery.watch();
    }

    /** Ends the watch; it can be opened again. */
    public void close() {
        discovery.close();
    }

    /** The version of the list that is held. */
    public long version() {
        return discovery.version();
    }

    private final class Lists implements Discovery.Receiver {
        private final LongSupplier unixUs;
        private final Listener listener;

        Lists(LongSupplier unixUs, Listener listener) {
            this.unixUs = unixUs;
            this.listener = listener;
        }

        @Override
        public long now() {
            return unixUs.getAsLong();
        }

        @Override
        public long monotonic(long unixMs) {
            return unixMs * 1000;
        }

        @Override
        public void nodes(Router.ListKind kind, List<Discovery.Entry> entries) {
            if (kind == Router.ListKind.FAILED || kind == Router.ListKind.SILENT) {
                listener.failed();
                return;
            }
            long lastStarted =
                    entries.isEmpty() ? 0 : entries.get(entries.size() - 1).node().startedUs;
            listener.list(
                    kind == Router.ListKind.FULL, discovery.version(), entries.size(), lastStarted);
        }

        @Override
        public void unreachable() {
            // the failed call itself is told by its list
        }
    }
}
