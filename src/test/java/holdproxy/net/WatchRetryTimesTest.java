package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The times of repeated calls to discovery, on a mock clock: soon enough that missed changes take effect in
 * time.
 */
class WatchRetryTimesTest {
    private static final int SEEDS = 200;

    /** Changes that a silent watch misses must be in effect this long after it fell silent. */
    private static final int MISSED_CHANGES_DUE_MS = 6_000;

    /** The longest that discovery takes to answer. */
    private static final int ANSWER_MS = 1_000;

    /** After a second silent call up to this much of the time for the answer is used up. */
    private static final int SECOND_SILENCE_EXTRA_MS = 200;

    private static final int STEP_MS = 10;

    @TempDir Path folder;

    /** A proxy that is connected to discovery alone. */
    private final class WatchingProxy implements Transport {
        private final MockTicker ticker = Ticker.newMockTicker();
        private final EmbeddedChannel timers = EmbeddedChannel.builder().ticker(ticker).build();
        private final List<EmbeddedChannel> calls = new ArrayList<>();
        private final List<InetSocketAddress> called = new ArrayList<>();
        private final Path file = folder.resolve("config.json");
        private final Config config;
        private final Proxy proxy;
        private boolean down;

        /** The connect timeout of the latest call. */
        private int timeoutMs;

        WatchingProxy(long seed, String settings) throws Exception {
            write("127.0.0.1:1", settings, seed);
            config = Config.load(Fixture.env(file, "127.0.0.1:1"));
            Clock time = new Clock(ticker, () -> 0);
            proxy = new Proxy(config, timers.eventLoop(), time, this, new Log(time, line -> {}));
            proxy.begin();
            advanceUntilCall(1, 10_000);
        }

        private void write(String discovery, String settings, long seed) throws Exception {
            Files.writeString(
                    file,
                    "{\"discovery\":\""
                            + discovery
                            + "\","
                            + Fixture.json(Fixture.list(1, true), settings, 1024)
                                    .replace("8c1f30d27a5be964", Long.toHexString(seed))
                                    .substring(1));
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            called.add(address);
            this.timeoutMs = timeoutMs;
            EmbeddedChannel channel =
                    EmbeddedChannel.builder().ticker(ticker).handlers(handlers).build();
            calls.add(channel);
            if (down) {
                ChannelPromise refused = channel.newPromise();
                return refused.setFailure(new ConnectException("refused"));
            }
            return channel.newSucceededFuture();
        }

        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void shutdownOutput(Channel channel) {
            throw new UnsupportedOperationException();
        }

        EmbeddedChannel latest() {
            return calls.get(calls.size() - 1);
        }

        void answer(EmbeddedChannel call, String list) {
            call.writeInbound(
                    WarmUp.bytes(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(list.length())
                                    + "\r\n"
                                    + list
                                    + "\r\n"));
        }

        void advance(int ms) {
            ticker.advance(ms, TimeUnit.MILLISECONDS);
            timers.runScheduledPendingTasks();
            List.copyOf(calls).forEach(EmbeddedChannel::runScheduledPendingTasks);
        }

        /** Moves the clock until {@code count} calls were made; returns the time that took. */
        int advanceUntilCall(int count, int maxMs) {
            int passed = 0;
            for (; calls.size() < count; passed += STEP_MS) {
                assertTrue(passed < maxMs, "no call within " + maxMs + " ms");
                advance(STEP_MS);
            }
            return passed;
        }
    }

    private static String requestedLists(int withinMs, int proxies) {
        return Fixture.SETTINGS
                .replace("\"askWithinMs\":100.0", "\"askWithinMs\":" + withinMs)
                .replace("\"balancers\":1", "\"balancers\":" + proxies);
    }

    @Test
    void aSilentWatchIsReopenedBeforeTheChangesItMissedAreDue() throws Exception {
        for (int routers : new int[] {2, 6, 100}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                WatchingProxy watching = new WatchingProxy(seed, requestedLists(6_000, routers));
                watching.answer(watching.latest(), Fixture.list(2, true) + "\n");
                int before = watching.calls.size();
                int took = watching.advanceUntilCall(before + 1, 60_000);
                assertTrue(
                        took <= MISSED_CHANGES_DUE_MS - ANSWER_MS,
                        "seed " + seed + " of " + routers + ": " + took + " ms");
            }
        }
    }

    /** The call that opens a new watch is not answered either: the next one has to fit into the time left. */
    @Test
    void aSecondSilentCallTimesOutBeforeTheMissedChangesAreDue() throws Exception {
        for (int routers : new int[] {2, 6, 100}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                WatchingProxy watching = new WatchingProxy(seed, requestedLists(6_000, routers));
                watching.answer(watching.latest(), Fixture.list(2, true) + "\n");
                int took = watching.advanceUntilCall(3, 60_000);
                assertTrue(
                        took <= MISSED_CHANGES_DUE_MS - ANSWER_MS + SECOND_SILENCE_EXTRA_MS,
                        "seed " + seed + " of " + routers + ": " + took + " ms");
            }
        }
    }

    @Test
    void manyProxiesWhoseWatchesFallSilentAtOnceDoNotCallAtOnce() throws Exception {
        int[] perTenth = new int[100];
        for (long seed = 1; seed <= SEEDS; seed++) {
            WatchingProxy watching = new WatchingProxy(seed, requestedLists(6_000, 100));
            watching.answer(watching.latest(), Fixture.list(2, true) + "\n");
            perTenth[watching.advanceUntilCall(watching.calls.size() + 1, 60_000) / 100]++;
        }
        for (int n : perTenth) {
            assertTrue(n <= SEEDS / 4, n + " of " + SEEDS + " in a tenth of a second");
        }
    }

    @Test
    void withPushedListsAClosedWatchIsReopenedAtOnce() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            WatchingProxy watching =
                    new WatchingProxy(
                            seed, Fixture.SETTINGS.replace("\"subscribe\"", "\"automatic\""));
            watching.answer(watching.latest(), Fixture.list(2, true) + "\n");
            watching.down = true;
            watching.latest().close();
            for (int i = 0; i < 10; i++) {
                int took = watching.advanceUntilCall(watching.calls.size() + 1, 60_000);
                // lists that are pushed count even while no watch is open
                assertTrue(took <= 700, took + " ms");
            }
        }
    }

    /** Lists of a discovery that is back count at once: retry delay and connecting must fit in the grace. */
    @Test
    void withPushedListsReconnectingFitsIntoTheDrainGrace() throws Exception {
        for (int grace : new int[] {100, 300, 1_000}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                WatchingProxy watching =
                        new WatchingProxy(
                                seed,
                                Fixture.SETTINGS
                                        .replace("\"subscribe\"", "\"automatic\"")
                                        .replace(
                                                "\"drainGraceMs\":1000.0",
                                                "\"drainGraceMs\":" + grace));
                watching.down = true;
                watching.latest().close();
                for (int i = 0; i < 6; i++) {
                    int took = watching.advanceUntilCall(watching.calls.size() + 1, 60_000);
                    assertTrue(
                            took + watching.timeoutMs < grace,
                            took + " and " + watching.timeoutMs + " ms of " + grace);
                }
            }
        }
    }

    @Test
    void aDiscoveryThatIsDownIsCalledAgainWithinTheTimeOfTheSettings() throws Exception {
        for (int within : new int[] {800, 2_000, 8_000}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                WatchingProxy watching = new WatchingProxy(seed, requestedLists(within, 6));
                watching.down = true;
                watching.latest().close();
                for (int i = 0; i < 6; i++) {
                    int took = watching.advanceUntilCall(watching.calls.size() + 1, 60_000);
                    assertTrue(took <= 4 * within, took + " ms of " + within);
                }
            }
        }
    }

    @Test
    void aMovedDiscoveryIsCalledAtOnceEvenWhileNoWatchIsOpen() throws Exception {
        for (boolean failing : new boolean[] {false, true}) {
            WatchingProxy watching = new WatchingProxy(1, requestedLists(6_000, 6));
            EmbeddedChannel old = watching.latest();
            if (failing) {
                old.close(); // the router waits to retry
            } else {
                watching.answer(old, Fixture.list(2, true));
            }
            watching.write("127.0.0.1:2", requestedLists(6_000, 6), 1);
            watching.proxy.applyConfig(
                    watching.config.reload(Fixture.env(watching.file, "127.0.0.1:1")));
            assertEquals(2, watching.calls.size());
            assertEquals(2, watching.called.get(1).getPort());
            // the old address's answer to the earlier call is ignored
            if (old.isOpen()) {
                watching.answer(old, Fixture.list(9, true));
            }
            assertEquals(0, watching.proxy.figures().poolSize.get());
            // the router's retry falls due, but does not open a second watch
            watching.answer(watching.latest(), Fixture.list(3, true) + "\n");
            for (int i = 0; i < 10; i++) {
                watching.advance(1_000);
                watching.latest().writeInbound(WarmUp.bytes("1\r\n\n\r\n"));
            }
            assertEquals(2, watching.calls.size());
        }
    }

    /** The empty keep-alive lines go on after it. */
    @Test
    void anUnfinishedListEndsItsWatch() throws Exception {
        WatchingProxy watching = new WatchingProxy(1, requestedLists(6_000, 6));
        watching.answer(watching.latest(), Fixture.list(2, true));
        EmbeddedChannel watch = watching.latest();
        watch.writeInbound(WarmUp.bytes("9\r\n{\"version\r\n"));
        for (int i = 0; i < 3 && watch.isOpen(); i++) {
            watching.advance(2_000);
            watch.writeInbound(WarmUp.bytes("1\r\n\n\r\n"));
        }
        assertFalse(watch.isOpen());
    }

    @Test
    void renumberedZonesCauseARequestForTheFullList() throws Exception {
        WatchingProxy watching = new WatchingProxy(1, requestedLists(6_000, 6));
        watching.answer(watching.latest(), Fixture.list(7, true));
        String swapped =
                requestedLists(6_000, 6).replace("[\"east\",\"west\"]", "[\"west\",\"east\"]");
        watching.write("127.0.0.1:1", swapped, 1);
        watching.proxy.applyConfig(
                watching.config.reload(Fixture.env(watching.file, "127.0.0.1:1")));
        assertEquals(2, watching.calls.size());
        String call = WarmUp.text(watching.latest());
        assertTrue(call.contains("stream=1&index=0 "), call);
    }
}
