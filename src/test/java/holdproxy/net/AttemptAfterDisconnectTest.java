package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * No attempt starts more than 0.1 s after its client disconnected. The disconnect is still unread behind the
 * input that would start the attempt, because the loop stalled for a little over 0.1 s, part of which its
 * ticks cannot detect.
 */
@Timeout(60)
class AttemptAfterDisconnectTest {
    /** 20 ms of it pass before the next tick is due, by which the loop detects that it is late. */
    private static final int STALL_MS = 110;

    /** Timeouts so long that a dial can wait until the test accepts it. */
    private static final Function<String, String> LONG_TIMEOUTS =
            s ->
                    s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":20000.0")
                            .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":60000.0")
                            .replace("\"deadlineMs\":5000.0", "\"deadlineMs\":30000.0");

    private final MockTicker clock = Ticker.newMockTicker();

    /** Has all input read in one loop iteration, with the stall passing on the proxy's clock meanwhile. */
    private void duringAStall(Fixture f, Fixture.Input all) throws Exception {
        f.advance(clock, 10);
        f.inOneIteration(
                () -> {
                    all.arrive();
                    clock.advance(STALL_MS, TimeUnit.MILLISECONDS);
                });
    }

    private static void assertNoNewAttempt(Fixture f, int attemptsBefore) throws Exception {
        assertEquals(0, f.active());
        assertEquals(attemptsBefore, f.proxy.figures().tries.get());
    }

    @Test
    void noFirstAttempt() throws Exception {
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            duringAStall(
                    f,
                    () -> {
                        client.send(Fixture.read("a2", 4000));
                        client.close();
                    });
            assertNoNewAttempt(f, 1);
        }
    }

    /** Guards against refusing a client that stays, as it sent more than is read at once before a stall. */
    @Test
    void aClientThatStaysIsServedBehindAStall() throws Exception {
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send("mn\r\n");
            client.expect("MN");
            StringBuilder many = new StringBuilder(Fixture.read("a1", 4000));
            many.append("mn\r\n".repeat(CommandDecoder.LINES_PER_TURN));
            duringAStall(f, () -> client.send(many.toString()));
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains("Oa1 "));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
        }
    }

    /** The same for a large write, which takes more than one pass over the sockets. */
    @Test
    void aLargeWriteIsServedBehindAStall() throws Exception {
        try (Fixture f = new Fixture(1, s -> s, 1024, clock)) {
            int length = 2 * MetaDecoder.MAX_BUFFERED_VALUE_BYTES;
            Peer client = f.client();
            client.send("mn\r\n");
            client.expect("MN");
            String command = "ms 7f " + length + " Oc1 Pc=charge,t=acme,d=4000\r\n";
            duringAStall(f, () -> client.send(command + "v".repeat(length) + "\r\n"));
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains("Oc1 "));
        }
    }

    /** The disconnect follows another command, which is all that the iteration of the failure reads. */
    @Test
    void noFurtherAttempt() throws Exception {
        try (Fixture f = new Fixture(2, s -> s, 1024, clock)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.next();
            node.line();
            duringAStall(
                    f,
                    () -> {
                        node.send("SERVER_ERROR busy\r\n");
                        client.send(Fixture.read("a2", 4000));
                        client.close();
                    });
            assertNoNewAttempt(f, 1);
        }
    }

    /** The node connection opens in the iteration that reads the client's disconnect after it. */
    @Test
    void noAttemptThatWaitsForADial() throws Exception {
        try (Peer.FullBacklog deaf = new Peer.FullBacklog();
                Fixture f = new Fixture(0, LONG_TIMEOUTS, 1024, clock)) {
            Peer watch = f.watch();
            Fixture.chunk(
                    watch,
                    Fixture.list(
                            2,
                            true,
                            "{\"id\":\"s-0\",\"addr\":\""
                                    + deaf.address()
                                    + "\",\"zone\":\"east\",\"kind\":\"full\",\"cell\":1,\"state\":\"SERVING\","
                                    + "\"weight\":1.0,\"started_ms\":0}"));
            while (f.proxy.figures().poolSize.get() != 1) {
                Thread.onSpinWait();
            }
            Peer client = f.client();
            client.send(Fixture.read("a1", 20000));
            assertEquals(1, f.active());
            duringAStall(
                    f,
                    () -> {
                        deaf.acceptNext();
                        client.close();
                    });
            assertNoNewAttempt(f, 0);
        }
    }
}
