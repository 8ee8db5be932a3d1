package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When a client disconnects, its requests are dropped at once, whatever they wait for, and not sent on. */
@Timeout(60)
class ClientDisconnectTest {
    private static final Function<String, String> NO_CANCELLING =
            s -> s.replace("\"mayCancel\":true", "\"mayCancel\":false");

    /** Timeouts so long that a dial can wait until the test accepts it. */
    private static final Function<String, String> LONG_TIMEOUTS =
            s ->
                    NO_CANCELLING
                            .apply(s)
                            .replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":20000.0")
                            .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":60000.0")
                            .replace("\"deadlineMs\":5000.0", "\"deadlineMs\":30000.0");

    /**
     * Fails what the requests of a disconnected client waited for, which must have no further effect. The
     * connection to the node may have been reset already.
     */
    private static void assertNoFurtherAttempt(Fixture f, Peer node, int attempts)
            throws Exception {
        assertEquals(0, f.active(), "requests of a disconnected client are still open");
        node.sendUnlessReset("SERVER_ERROR busy\r\n");
        f.awaitInputProcessed();
        assertEquals(attempts, f.proxy.figures().tries.get());
        assertEquals(
                0, f.proxy.openRequests(), "an attempt is still open for a disconnected client");
    }

    @Test
    void duringShutdown() throws Exception {
        try (Fixture f = new Fixture(2)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.next();
            node.line();
            f.proxy.drain(0);
            awaitListenerClosed(f);
            client.close();
            assertNoFurtherAttempt(f, node, 1);
        }
    }

    /** Waits until the listener is closed, when the open connections have been asked to close as well. */
    private static void awaitListenerClosed(Fixture f) throws Exception {
        while (f.loop.submit(f.proxy::isListening).get()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void withMoreRequestsThanOneConnectionMayHaveWaiting() throws Exception {
        try (Fixture f = new Fixture(2)) {
            Peer client = f.client();
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                many.append(Fixture.read("a" + i, 4000));
            }
            client.send(many.toString());
            Peer node = f.next();
            node.line();
            f.awaitInputProcessed();
            assertTrue(f.active() >= 100, f.active() + " requests were accepted");
            client.close();
            assertEquals(0, f.active());
        }
    }

    @Test
    void whileItDoesNotReadItsResponse() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000) + Fixture.read("a2", 4000));
            Peer first = f.nodes.get(0).next();
            Peer second = f.nodes.get(0).next();
            String line = first.line();
            second.line();
            Peer of1 = line.contains("Oa1") ? first : second;
            of1.send("VA 4000000 Oa1\r\n");
            Thread sender =
                    new Thread(
                            () -> {
                                try {
                                    of1.send("x".repeat(4_000_000));
                                } catch (java.io.IOException e) {
                                    // expected: the proxy closes the connection
                                }
                            });
            sender.start();
            // the proxy holds data of the value that the client has not read
            while (f.loop.submit(f.proxy.relays::heldBytes).get() == 0) {
                Thread.onSpinWait();
            }
            client.reset();
            assertEquals(0, f.active());
            sender.join();
        }
    }

    @Test
    void whileTheNodeConnectionIsDialed() throws Exception {
        try (Peer.FullBacklog deaf = new Peer.FullBacklog();
                Fixture f = new Fixture(0, LONG_TIMEOUTS, 1024)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-0", deaf.address(), "SERVING")));
            awaitPoolSize(f, 1);
            Peer client = f.client();
            client.send(Fixture.read("gone", 20000));
            f.awaitInputProcessed();
            client.close();
            assertEquals(0, f.active());
            Peer second = f.client();
            second.send(Fixture.read("stays", 20000));
            Peer one = deaf.acceptNext();
            Peer two = deaf.acceptNext();
            String command = respondToNextCommand(one, two);
            assertTrue(command.contains("Ostays"), command);
            second.expect("VA 1 Ostays", "1");
            assertEquals(1, f.proxy.figures().tries.get());
        }
    }

    /** Responds to the command on whichever connection receives one; returns the command. */
    private static String respondToNextCommand(Peer one, Peer two) throws Exception {
        for (long end = System.nanoTime() + 10_000_000_000L;
                System.nanoTime() < end;
                Thread.onSpinWait()) {
            for (Peer p : new Peer[] {one, two}) {
                if (p.socket.getInputStream().available() > 0) {
                    String line = p.line();
                    int at = line.indexOf(" O") + 1;
                    p.send("VA 1 " + line.substring(at, line.indexOf(' ', at)) + "\r\n1\r\n");
                    return line;
                }
            }
        }
        throw new AssertionError("no command came");
    }

    @Test
    void aRequestWaitingForADialIsRetriedElsewhereWhenTheNodeDrains() throws Exception {
        try (Peer.FullBacklog deaf = new Peer.FullBacklog();
                Fixture f = new Fixture(1, LONG_TIMEOUTS, 1024)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-9", deaf.address(), "SERVING")));
            awaitPoolSize(f, 1);
            Peer client = f.client();
            client.send(Fixture.write("charge", "c1", 20000));
            f.awaitInputProcessed();
            Fixture.chunk(
                    watch,
                    Fixture.list(
                            3,
                            false,
                            node("s-9", deaf.address(), "DRAINING"),
                            f.entry(0, "SERVING")));
            awaitPoolSize(f, 2);
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains("Oc1"));
            node.expect("hello");
            node.send("HD Oc1 c1\r\n");
            client.expect("HD Oc1 c1");
        }
    }

    /**
     * The loop stalled during the dial. The router bases its time windows on the dial timeout, so an attempt
     * must not start after it.
     */
    @Test
    void anAttemptThatWaitedLongerThanTheDialTimeoutIsNotStarted() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Peer.FullBacklog deaf = new Peer.FullBacklog();
                Fixture f = new Fixture(0, LONG_TIMEOUTS, 1024, clock)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-0", deaf.address(), "SERVING")));
            awaitPoolSize(f, 1);
            Peer client = f.client();
            client.send(Fixture.write("submit", "k1", 29000));
            f.awaitInputProcessed();
            clock.advance(21, TimeUnit.SECONDS); // the dial timeout is 20 s
            Peer dialed = deaf.acceptNext();
            assertTrue(client.line().startsWith("SERVER_ERROR"));
            assertEquals(0, f.proxy.figures().tries.get());
            dialed.close();
        }
    }

    private static void awaitPoolSize(Fixture f, int nodes) throws Exception {
        while (f.proxy.figures().poolSize.get() != nodes) {
            Thread.onSpinWait();
        }
        f.awaitInputProcessed();
    }

    private static String node(String id, String address, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + address
                + "\",\"zone\":\"east\",\"kind\":\"full\",\"cell\":1,"
                + "\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }
}
