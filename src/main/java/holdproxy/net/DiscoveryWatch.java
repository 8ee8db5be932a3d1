package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The discovery watch without a proxy: the same calls, framing, parsing and limits, but no connections to
 * nodes. Used to measure discovery with many proxies. Confined to one event loop.
 */
public final class DiscoveryWatch {
    /** Called on the event loop. */
    public interface Listener {
        /**
         * A list was received: full or a delta, with its version, its number of entries and the start time of
         * the last entry's node (0 if there are none).
         */
        void onList(boolean full, long version, int entries, long lastStartedUnixUs);

        /** The call ended without a list; the listener has to call {@link #open} again. */
        void onFailure();
    }

    private final Discovery discovery;

    /** {@code unixUs}: a clock in microseconds since 1970; {@code log} receives log lines. */
    public DiscoveryWatch(
            Config config,
            Transport transport,
            LongSupplier unixUs,
            Consumer<String> log,
            Listener listener) {
        Clock time = new Clock(Ticker.systemTicker(), System::currentTimeMillis);
        discovery =
                new Discovery(
                        new ListReceiver(unixUs, listener), config, transport, new Log(time, log));
    }

    /** Opens a watch for changes after the version that is held, unless one is open. */
    public void open() {
        discovery.ensureWatch();
    }

    /** Closes the watch; it can be opened again. */
    public void close() {
        discovery.close();
    }

    /** The version of the list that is held. */
    public long version() {
        return discovery.version();
    }

    private final class ListReceiver implements Discovery.Receiver {
        private final LongSupplier unixUs;
        private final Listener listener;

        ListReceiver(LongSupplier unixUs, Listener listener) {
            this.unixUs = unixUs;
            this.listener = listener;
        }

        @Override
        public long now() {
            return unixUs.getAsLong();
        }

        @Override
        public long toMonotonicUs(long unixMs) {
            return unixMs * 1000;
        }

        @Override
        public void onList(Router.ListKind kind, List<Discovery.Entry> entries) {
            if (kind == Router.ListKind.FAILED || kind == Router.ListKind.SILENT) {
                listener.onFailure();
                return;
            }
            long lastStarted =
                    entries.isEmpty() ? 0 : entries.get(entries.size() - 1).node().startedUs;
            listener.onList(
                    kind == Router.ListKind.FULL, discovery.version(), entries.size(), lastStarted);
        }

        @Override
        public void onUnreachable() {
            // nodes() reports the failed call
        }
    }
}
