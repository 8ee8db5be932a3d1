package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that are half received when a proxy drains, as on SIGTERM. */
@Timeout(60)
class DrainTest {
    /** Drains; returns once idle connections have been closed. */
    private static Future<Void> drain(Fixture f) throws Exception {
        Peer idle = f.client();
        idle.send("mn\r\n");
        idle.expect("MN");
        Future<Void> drained = f.proxy.drain(0);
        idle.expectEnd();
        idle.close();
        return drained;
    }

    private static Peer clientThatHasSent(Fixture f, String text) throws Exception {
        Peer client = f.client();
        client.send("mn\r\n");
        client.expect("MN");
        client.send(text);
        f.awaitInputProcessed();
        return client;
    }

    /** Guards against requests that get no answer since they were half received at the drain. */
    @Test
    void aRequestThatIsHalfReceivedIsServed() throws Exception {
        try (Fixture f = new Fixture(1)) {
            String request = Fixture.write("charge", "c1", 4000);
            Peer client = clientThatHasSent(f, request.substring(0, request.length() - 4));
            Future<Void> drained = drain(f);
            client.send(request.substring(request.length() - 4));
            Peer node = f.next();
            assertTrue(node.line().contains(" Oc1 "));
            node.send("HD Oc1 c7\r\n");
            client.expect("HD Oc1 c7");
            client.expectEnd();
            client.close();
            assertTrue(drained.await(10_000));
        }
    }

    /** The same behind an answer that the drain waits for; what begins after it is refused. */
    @Test
    void aRequestThatIsHalfReceivedBehindAnAnswerIsServed() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = clientThatHasSent(f, Fixture.read("a1", 4000) + "mg 7f3a9c21e0b4d6");
            Peer first = f.next();
            assertTrue(first.line().contains(" Oa1 "));
            drain(f);
            first.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            client.send("55 v Oa2 Pc=lookup,t=acme,d=4000\r\n" + Fixture.read("a3", 4000));
            assertTrue(first.line().contains(" Oa2 "));
            first.send("VA 1 Oa2\r\n2\r\n");
            client.expect("VA 1 Oa2", "2", "SERVER_ERROR busy");
            client.expectEnd();
        }
    }

    /** A client that goes on writing does not hold up the drain. */
    @Test
    void aRequestThatStaysHalfReceivedIsRefusedBeforeTheProcessIsKilled() throws Exception {
        try (Fixture f = new Fixture(1, s -> s.replace("5000.0", "100.0"), 1024)) {
            Peer client = clientThatHasSent(f, "mg 7f3a9c21e0b4d6");
            Future<Void> drained = drain(f);
            assertFalse(drained.isDone());
            client.expect("SERVER_ERROR busy");
            client.expectEnd();
            client.close();
            assertTrue(drained.await(10_000));
        }
    }
}
