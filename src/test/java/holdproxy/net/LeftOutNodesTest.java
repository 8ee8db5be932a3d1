package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Nodes left out by operators, on a proxy with real sockets: connections and accepted node names. */
@Timeout(60)
class LeftOutNodesTest {
    private static void leaveOut(Fixture f, String node, boolean out) throws Exception {
        f.loop.submit(() -> f.proxy.members().leaveOut(node, out, f.proxy.now())).get();
    }

    private static boolean knows(Fixture f, String node, boolean out) throws Exception {
        return f.loop.submit(() -> f.proxy.members().acceptsLeaveOut(node, out)).get();
    }

    @Test
    void aLeftOutNodeLosesItsIdleConnectionsAndGetsNothingUntilItIsUsedAgain() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            leaveOut(f, "s-0", true);
            node.expectEnd();
            client.send(Fixture.read("a2", 4000));
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, f.entry(0, "SERVING")));
            Fixture.chunk(watch, "{}"); // is no list: ends the watch after the one before
            watch.expectEnd();
            client.send(Fixture.read("a3", 4000));
            assertTrue(
                    client.line().startsWith("SERVER_ERROR busy"),
                    "a list does not bring the node back");
            assertEquals(1, f.nodes.get(0).count());
            f.loop.submit(() -> f.proxy.members().updateFigures()).get();
            assertEquals(1, f.proxy.figures().poolEjected.get());
            leaveOut(f, "s-0", false);
            // the node is cold and gets few requests: some of a hundred keys go there
            for (int i = 0; i < 100; i++) {
                String key = Integer.toHexString(i * 7919 + 1);
                client.send("mg " + key + " v Ob" + i + " Pc=lookup,t=acme,d=4000\r\n");
            }
            f.nodes.get(0).next();
        }
    }

    @Test
    void anAttemptInProgressIsAnsweredBeforeItsConnectionIsClosed() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            leaveOut(f, "s-0", true);
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            node.expectEnd();
        }
    }

    @Test
    void onlyNodesThatAreListedOrLeftOutAreKnown() throws Exception {
        try (Fixture f = new Fixture(2)) {
            assertTrue(knows(f, "s-0", true));
            assertTrue(knows(f, "s-0", false));
            assertFalse(knows(f, "s-7", true));
            assertFalse(knows(f, "s-7", false));
            leaveOut(f, "s-0", true);
            Peer watch = f.watch();
            Fixture.chunk(watch, Fixture.list(2, true, f.entry(1, "SERVING")));
            Fixture.chunk(watch, "{}");
            watch.expectEnd();
            assertFalse(knows(f, "s-0", true), "it has left the list");
            assertTrue(knows(f, "s-0", false), "but is left out");
            leaveOut(f, "s-0", false);
            assertFalse(knows(f, "s-0", false));
            assertEquals(1, f.proxy.figures().poolSize.get());
        }
    }
}
