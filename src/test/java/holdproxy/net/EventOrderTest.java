package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Answers, requests, lists and closed connections in harmful orders, which the tests force. */
@Timeout(60)
class EventOrderTest {
    /** Settings with which the proxy asks for lists, at least every 10 s. */
    private static final String REQUESTED_LISTS =
            Fixture.SETTINGS.replace("\"askWithinMs\":100.0", "\"askWithinMs\":10000.0");

    private static void served(Peer client, Peer node, String id) throws Exception {
        assertTrue(node.line().contains("O" + id + " "));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expect("VA 1 O" + id, "1");
    }

    /** On the mock clock no time passes between an answer and the next request, however slow the machine. */
    @Test
    void aSecondAnswerWithoutAnIdIsNotTakenForThatOfAWrite() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer first = f.nodes.get(0).next();
            served(client, first, "a1");
            client.send(Fixture.write("charge", "c1", 4000));
            Peer second = f.nodes.get(0).next();
            second.line();
            second.expect("hello");
            first.send("SERVER_ERROR busy\r\n"); // a second answer to a1
            first.expectEnd();
            second.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    @Test
    void noWriteIsSentOnAConnectionAfterAnAnswerWithoutAnId() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f =
                new Fixture(
                        1, s -> s.replace("\"maxAttempts\":4", "\"maxAttempts\":1"), 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer first = f.nodes.get(0).next();
            assertTrue(first.line().contains("Oa1 "));
            // it may answer an earlier command, and a1's answer may still come
            first.send("SERVER_ERROR busy\r\n");
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            f.advance(clock, 1_000);
            client.send(Fixture.write("charge", "c1", 4000));
            Peer second = f.nodes.get(0).next();
            assertTrue(second.line().contains("Oc1 "));
            second.expect("hello");
            second.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    @Test
    void aWriteGoesOnAConnectionThatHasBeenQuietSinceAnAnswerWithItsId() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            served(client, node, "a1");
            f.advance(clock, 1_000);
            client.send(Fixture.write("charge", "c1", 4000));
            node.line();
            node.expect("hello");
            node.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    /** The timer that closes it runs after the request, as when the event loop was stalled. */
    @Test
    void aConnectionThatHasIdledTooLongIsNotUsedAgain() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer old = f.nodes.get(0).next();
            served(client, old, "a1");
            f.advance(clock, 25_000); // the limit is 30 s less a fifth
            client.send(Fixture.read("a2", 4000));
            served(client, f.nodes.get(0).next(), "a2");
            old.expectEnd();
        }
    }

    @Test
    void aConnectionToTheOldAddressOfANodeIsNotReused() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer watch = f.watch();
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer old = f.nodes.get(0).next();
            assertTrue(old.line().contains("Oa1 "));
            try (Peer.Listener now = new Peer.Listener()) {
                Fixture.chunk(
                        watch,
                        Fixture.list(
                                2,
                                false,
                                f.entry(0, "SERVING")
                                        .replace(f.nodes.get(0).address(), now.address())));
                f.awaitInputProcessed();
                old.send("VA 1 Oa1\r\n1\r\n");
                client.expect("VA 1 Oa1", "1");
                client.send(Fixture.read("a2", 4000));
                served(client, now.next(), "a2");
                old.expectEnd();
            }
        }
    }

    @Test
    void aListThatIsOlderThanTheOneHeldIsIgnored() throws Exception {
        try (Fixture f = new Fixture(1)) {
            f.nodes.add(new Peer.Listener());
            Peer watch = f.watch();
            Fixture.chunk(
                    watch, Fixture.list(7, true, f.entry(0, "DRAINING"), f.entry(1, "SERVING")));
            Fixture.chunk(watch, Fixture.list(6, true, f.entry(0, "SERVING")));
            f.awaitInputProcessed();
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            served(client, f.nodes.get(1).next(), "a1");
            Fixture.chunk(
                    watch, Fixture.list(8, false, f.entry(0, "SERVING"), f.entry(1, "DRAINING")));
            f.awaitInputProcessed();
            client.send(Fixture.read("a2", 4000));
            served(client, f.nodes.get(0).next(), "a2");
        }
    }

    /** Discovery may have sent the drain long before: the loop is late by more than the grace. */
    @Test
    void aDrainReadAfterARequestInTheSamePassAppliesToTheRequest() throws Exception {
        try (Fixture f = new Fixture(1)) {
            f.nodes.add(new Peer.Listener());
            Peer watch = f.watch();
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer drains = f.nodes.get(0).next();
            served(client, drains, "a1");
            f.inOneIteration(
                    () -> {
                        client.send(Fixture.read("a2", 4000));
                        Fixture.chunk(
                                watch,
                                Fixture.list(
                                        2, false, f.entry(0, "DRAINING"), f.entry(1, "SERVING")));
                    });
            served(client, f.nodes.get(1).next(), "a2");
            drains.expectEnd();
        }
    }

    /** The same where the drain stands at the end of a list that is longer than a first read. */
    @Test
    void aDrainAtTheEndOfALongListAppliesToARequestReadInTheSamePass() throws Exception {
        try (Fixture f = new Fixture(1)) {
            f.nodes.add(new Peer.Listener());
            Peer watch = f.watch();
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer drains = f.nodes.get(0).next();
            served(client, drains, "a1");
            List<String> changes = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                changes.add(f.entry(1, "SERVING").replace("\"s-1\"", "\"s-1" + i + "\""));
            }
            changes.add(f.entry(0, "DRAINING"));
            f.inOneIteration(
                    () -> {
                        client.send(Fixture.read("a2", 4000));
                        Fixture.chunk(
                                watch, Fixture.list(2, false, changes.toArray(String[]::new)));
                    });
            served(client, f.nodes.get(1).next(), "a2");
            drains.expectEnd();
        }
    }

    /** The same for an attempt that follows from an answer: the retry after a refusal. */
    @Test
    void aDrainReadAfterARefusalInTheSamePassAppliesToTheNextAttempt() throws Exception {
        try (Fixture f = new Fixture(2)) {
            f.nodes.add(new Peer.Listener());
            Peer watch = f.watch();
            Peer client = f.client();
            Peer second = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer one = f.next();
            // goes to the less busy node, so that each node has a connection
            second.send(Fixture.read("a2", 4000));
            Peer two = f.next();
            served(client, one, "a1");
            served(second, two, "a2");
            client.send(Fixture.read("a3", 4000));
            f.awaitInputProcessed();
            boolean first = one.socket.getInputStream().available() > 0;
            Peer refuses = first ? one : two;
            Peer drains = first ? two : one;
            assertTrue(refuses.line().contains("Oa3 "));
            int node =
                    f.nodes.get(0).address().endsWith(":" + drains.socket.getLocalPort()) ? 0 : 1;
            f.inOneIteration(
                    () -> {
                        refuses.send("SERVER_ERROR busy\r\n");
                        Fixture.chunk(
                                watch,
                                Fixture.list(
                                        2,
                                        false,
                                        f.entry(node, "DRAINING"),
                                        f.entry(2, "SERVING")));
                    });
            served(client, f.nodes.get(2).next(), "a3");
            drains.expectEnd();
        }
    }

    @Test
    void aRequestReadInTheSamePassAsTheEndOfAConnectionUsesANewOne() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer old = f.nodes.get(0).next();
            served(client, old, "a1");
            f.advance(clock, 1_000); // long enough for a write to use the connection
            f.inOneIteration(
                    () -> {
                        client.send(Fixture.write("charge", "c1", 4000));
                        old.close();
                    });
            Peer fresh = f.nodes.get(0).next();
            assertTrue(fresh.line().contains("Oc1 "));
            fresh.expect("hello");
            fresh.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
        }
    }

    @Test
    void aListMayComeIndentedAndInPieces() throws Exception {
        try (Fixture f = new Fixture(1)) {
            f.nodes.add(new Peer.Listener());
            Peer watch = f.watch();
            String list =
                    Fixture.list(
                            7,
                            true,
                            f.entry(0, "DRAINING").replace("\"east\"", "\"ea}\\\"{st\""),
                            f.entry(1, "SERVING"));
            String indented =
                    list.replace("{\"", "{\n    \"")
                            .replace(",\"", ",\r\n\t\"")
                            .replace("}]", "\n}\n]");
            for (String piece :
                    new String[] {
                        "\n",
                        indented.substring(0, 60),
                        indented.substring(60),
                        "\n\n",
                        Fixture.list(8, false)
                    }) {
                watch.send(Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
                f.awaitInputProcessed();
            }
            assertEquals(2, f.proxy.figures().poolSize.get());
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            served(client, f.nodes.get(1).next(), "a1");
        }
    }

    /**
     * SIGTERM right after the first answer: the thread that starts the proxy has bound the socket, but has
     * not yet stored the channel.
     */
    @Test
    void aShutdownRightAfterListeningStillServesNewConnections(@TempDir Path folder)
            throws Exception {
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        try (Peer.Listener node = new Peer.Listener();
                Peer.Listener discovery = new Peer.Listener()) {
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    Fixture.json(
                            Fixture.list(
                                    1,
                                    true,
                                    "{\"id\":\"s-0\",\"addr\":\""
                                            + node.address()
                                            + "\",\"state\":\"SERVING\"}"),
                            Fixture.SETTINGS,
                            1024));
            Config config = Config.load(Fixture.env(file, discovery.address()));
            Sockets sockets = new Sockets(loop, null);
            AtomicReference<Proxy> proxy = new AtomicReference<>();
            List<Boolean> endedAtOnce = new ArrayList<>();
            Shutdown shutdown =
                    address -> {
                        Future<Void> ended;
                        try (Peer client = Peer.to(address)) {
                            client.send("mn\r\n");
                            client.expect("MN");
                            client.send(Fixture.read("a1", 4000));
                            Peer at = node.next();
                            ended = proxy.get().drain(60_000);
                            served(client, at, "a1");
                        }
                        for (int i = 0; i < 5; i++) {
                            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
                        }
                        endedAtOnce.add(ended.isDone());
                    };
            Transport transport =
                    new Transport() {
                        @Override
                        public ChannelFuture connect(
                                InetSocketAddress address,
                                int timeoutMs,
                                ChannelHandler... handlers) {
                            return sockets.connect(address, timeoutMs, handlers);
                        }

                        @Override
                        public ChannelFuture listen(
                                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
                            ChannelFuture bound = sockets.listen(address, handlers);
                            if (!loop.inEventLoop()) {
                                shutdown.runUnchecked(
                                        (InetSocketAddress)
                                                bound.syncUninterruptibly()
                                                        .channel()
                                                        .localAddress());
                            }
                            return bound;
                        }

                        @Override
                        public void shutdownOutput(Channel channel) {
                            sockets.shutdownOutput(channel);
                        }
                    };
            Clock time = Clock.system();
            proxy.set(
                    loop.submit(
                                    () ->
                                            new Proxy(
                                                    config,
                                                    loop,
                                                    time,
                                                    transport,
                                                    new Log(time, line -> {})))
                            .get());
            loop.submit(proxy.get()::begin).get();
            ProxyService.listen(proxy.get(), config, loop, false);
            if (endedAtOnce.isEmpty()) {
                shutdown.runUnchecked(proxy.get().address());
            }
            assertEquals(List.of(false), endedAtOnce);
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private interface Shutdown {
        void run(InetSocketAddress address) throws Exception;

        default void runUnchecked(InetSocketAddress address) {
            try {
                run(address);
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }
    }

    /** The end of the connection follows the request, and one read of the socket does not reach it. */
    @Test
    void requestsOfAClientThatLeftWhileTheLoopWasStalledAreNotForwarded() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            served(client, f.nodes.get(0).next(), "a1");
            f.advance(clock, 10);
            f.inOneIteration(
                    () -> {
                        client.send(Fixture.read("a2", 4000));
                        client.close();
                        clock.advance(400, TimeUnit.MILLISECONDS); // the time since it left
                    });
            assertEquals(0, f.active());
            assertEquals(1, f.proxy.figures().tries.get());
        }
    }

    /** More connections than one pass accepts: the loop was stalled at the end of the time for new ones. */
    @Test
    void connectionsTheKernelAcceptedBeforeTheShutdownAreServed() throws Exception {
        try (Fixture f = new Fixture(1)) {
            List<Peer> late = new ArrayList<>();
            f.awaitInputProcessed();
            f.whileBlocked(
                    () -> f.proxy.drain(0),
                    () -> {
                        for (int i = 0; i < 60; i++) {
                            Peer p = f.client();
                            p.send("mn\r\n");
                            late.add(p);
                        }
                    });
            for (Peer p : late) {
                p.expect("MN");
                p.expectEnd();
            }
        }
    }

    /** Pushed changes count from the start of the process, and the list of its configuration may be older. */
    @Test
    void withPushedListsNoClientIsAcceptedBeforeTheFirstList(@TempDir Path folder)
            throws Exception {
        checkNoClientIsAcceptedBeforeTheFirstList(
                folder, Fixture.SETTINGS.replace("\"subscribe\"", "\"automatic\""));
    }

    /** Changes that discovery has had for 6 s count for a new process too, whatever list it starts with. */
    @Test
    void withRequestedListsNoClientIsAcceptedBeforeTheFirstList(@TempDir Path folder)
            throws Exception {
        checkNoClientIsAcceptedBeforeTheFirstList(folder, REQUESTED_LISTS);
    }

    /** No list can be received then, so the start does not wait for one. */
    @Test
    void withUnreachableDiscoveryClientsAreAcceptedWithTheListThatIsHeld(@TempDir Path folder)
            throws Exception {
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), REQUESTED_LISTS, 1024));
        try (Peer.Listener discovery = new Peer.Listener()) {
            String closed = discovery.address();
            discovery.close();
            Config config = Config.load(Fixture.env(file, closed));
            Proxy proxy = ProxyService.start(config, loop, null, null, null);
            assertTrue(
                    proxy.members().firstListOrUnreachable().isDone(),
                    "the start waited for its time limit");
            assertFalse(proxy.members().firstList().isDone());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void checkNoClientIsAcceptedBeforeTheFirstList(Path folder, String settings)
            throws Exception {
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        try (Peer.Listener drains = new Peer.Listener();
                Peer.Listener serves = new Peer.Listener();
                Peer.Listener discovery = new Peer.Listener()) {
            String old =
                    "{\"id\":\"s-0\",\"addr\":\"" + drains.address() + "\",\"state\":\"SERVING\"}";
            String fresh =
                    "{\"id\":\"s-1\",\"addr\":\"" + serves.address() + "\",\"state\":\"SERVING\"}";
            Path file = folder.resolve("config.json");
            Files.writeString(file, Fixture.json(Fixture.list(1, true, old), settings, 1024));
            CompletableFuture<Proxy> started = new CompletableFuture<>();
            Config config = Config.load(Fixture.env(file, discovery.address()));
            Thread starting =
                    new Thread(
                            () ->
                                    started.complete(
                                            ProxyService.start(config, loop, null, null, null)));
            starting.start();
            Peer watch = discovery.next();
            for (String line = watch.line(); !line.isEmpty(); line = watch.line()) {
                // skips the lines of the request
            }
            boolean waits = false;
            while (starting.isAlive() && !waits) {
                waits =
                        Arrays.stream(starting.getStackTrace())
                                .anyMatch(e -> e.getMethodName().equals("awaitFirstList"));
            }
            assertTrue(waits, "the proxy listens although it has no list yet");
            watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Fixture.chunk(watch, Fixture.list(2, true, old.replace("SERVING", "DRAINING"), fresh));
            Proxy proxy = started.get();
            while (proxy.figures().poolSize.get() != 2) {
                Thread.onSpinWait();
            }
            try (Peer client = Peer.to(proxy.address())) {
                client.send(Fixture.read("a1", 4000));
                served(client, serves.next(), "a1");
            }
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Each of these ends the watch, and the list that is held stays in use. */
    @Test
    void anInvalidListEndsOnlyTheWatch() throws Exception {
        for (String bad :
                new String[] {
                    "nothing",
                    "[]",
                    "{\"version\":2}",
                    "{]}",
                    "x".repeat(70_000),
                    "{\"a\":\"" + "x".repeat(1 << 20) + "\"}"
                }) {
            try (Fixture f = new Fixture(1)) {
                Peer watch = f.watch();
                try {
                    Fixture.chunk(watch, bad);
                    watch.expectEnd();
                } catch (java.net.SocketException e) {
                    // the proxy closed the connection while the rest was still being sent
                }
                Peer client = f.client();
                client.send(Fixture.read("a1", 4000));
                served(client, f.nodes.get(0).next(), "a1");
            }
        }
    }
}
