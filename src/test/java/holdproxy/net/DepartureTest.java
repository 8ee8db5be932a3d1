package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client leaves while its request waits: it is given up at once, in whatever state it waits, and not sent on. */
@Timeout(60)
class DepartureTest {
    private static final Function<String, String> NO_CANCELLING =
            s -> s.replace("\"mayCancel\":true", "\"mayCancel\":false");

    /** A dial has time: the test says when it is taken. */
    private static final Function<String, String> PATIENT =
            s ->
                    NO_CANCELLING
                            .apply(s)
                            .replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":20000.0")
                            .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":60000.0")
                            .replace("\"deadlineMs\":5000.0", "\"deadlineMs\":30000.0");

    /** What the requests of a departed client wait for fails now: nothing may follow from that. */
    private static void nothingFollows(Fixture f, Peer node, int attempts) throws Exception {
        assertEquals(0, f.active(), "requests of a client that has left are still open");
        node.send("SERVER_ERROR busy\r\n");
        f.turn();
        assertEquals(attempts, f.proxy.figures().tries.get());
        assertEquals(0, f.proxy.open(), "an attempt is out for nobody");
    }

    @Test
    void whileItsConnectionIsDraining() throws Exception {
        try (Fixture f = new Fixture(2)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.next();
            node.line();
            f.proxy.end(0);
            ended(f);
            client.close();
            nothingFollows(f, node, 1);
        }
    }

    /** Waits until new connections are refused: the listener is closed, and the open ones are told to end. */
    private static void ended(Fixture f) throws Exception {
        while (f.loop.submit(f.proxy::listens).get()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void whileMoreOfItsRequestsWaitThanOneConnectionMayHave() throws Exception {
        try (Fixture f = new Fixture(2)) {
            Peer client = f.client();
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                many.append(Fixture.read("a" + i, 4000));
            }
            client.send(many.toString());
            Peer node = f.next();
            node.line();
            f.turn();
            assertTrue(f.active() >= 100, f.active() + " are taken");
            client.close();
            assertEquals(0, f.active());
        }
    }

    @Test
    void whileItTakesNothingOfWhatItIsGiven() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000) + Fixture.read("a2", 4000));
            Peer first = f.nodes.get(0).next();
            Peer second = f.nodes.get(0).next();
            String line = first.line();
            second.line();
            Peer of1 = line.contains("Oa1") ? first : second;
            of1.send("VA 4000000 Oa1\r\n");
            Thread feeding =
                    new Thread(
                            () -> {
                                try {
                                    of1.send("x".repeat(4_000_000));
                                } catch (java.io.IOException e) {
                                    // given up, as it should be
                                }
                            });
            feeding.start();
            // the value waits for the client once the proxy no longer reads its node
            while (f.loop.submit(f.proxy.relays::held).get() == 0) {
                Thread.onSpinWait();
            }
            client.reset();
            assertEquals(0, f.active());
            feeding.join();
        }
    }

    @Test
    void whileItsConnectionToTheNodeIsDialed() throws Exception {
        try (Peer.Deaf deaf = new Peer.Deaf();
                Fixture f = new Fixture(0, PATIENT, 1024)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-0", deaf.address(), "SERVING")));
            listed(f, 1);
            Peer client = f.client();
            client.send(Fixture.read("gone", 20000));
            f.turn();
            client.close();
            assertEquals(0, f.active());
            Peer second = f.client();
            second.send(Fixture.read("stays", 20000));
            Peer one = deaf.hear();
            Peer two = deaf.hear();
            String told = answered(one, two);
            assertTrue(told.contains("Ostays"), told);
            second.expect("VA 1 Ostays", "1");
            assertEquals(1, f.proxy.figures().tries.get());
        }
    }

    /** Has whichever connection brings a command answer it; returns that command. */
    private static String answered(Peer one, Peer two) throws Exception {
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
    void whatWaitsForADialToANodeThatIsToldToDrainGoesElsewhere() throws Exception {
        try (Peer.Deaf deaf = new Peer.Deaf();
                Fixture f = new Fixture(1, PATIENT, 1024)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-9", deaf.address(), "SERVING")));
            listed(f, 1);
            Peer client = f.client();
            client.send(Fixture.write("charge", "c1", 20000));
            f.turn();
            Fixture.chunk(
                    watch,
                    Fixture.list(
                            3,
                            false,
                            node("s-9", deaf.address(), "DRAINING"),
                            f.entry(0, "SERVING")));
            listed(f, 2);
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains("Oc1"));
            node.expect("hello");
            node.send("HD Oc1 c1\r\n");
            client.expect("HD Oc1 c1");
        }
    }

    /** The loop stood still while it was dialed: by how long a dial may take the module reckons its windows. */
    @Test
    void whatHasWaitedLongerThanADialMayTakeIsNotBegun() throws Exception {
        MockTicker clock = Ticker.newMockTicker();
        try (Peer.Deaf deaf = new Peer.Deaf();
                Fixture f = new Fixture(0, PATIENT, 1024, clock)) {
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, node("s-0", deaf.address(), "SERVING")));
            listed(f, 1);
            Peer client = f.client();
            client.send(Fixture.write("submit", "k1", 29000));
            f.turn();
            clock.advance(21, TimeUnit.SECONDS); // of 20 s
            Peer late = deaf.hear();
            assertTrue(client.line().startsWith("SERVER_ERROR"));
            assertEquals(0, f.proxy.figures().tries.get());
            late.close();
        }
    }

    private static void listed(Fixture f, int nodes) throws Exception {
        while (f.proxy.figures().poolSize.get() != nodes) {
            Thread.onSpinWait();
        }
        f.turn();
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
