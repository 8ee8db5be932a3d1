package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.console.Figures;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The metrics of a proxy on loopback sockets: each request is in exactly one counter. */
@Timeout(60)
class FiguresTest {

    private static String figures(Fixture f) throws Exception {
        // the loop counts before it answers the client, so a later task of the loop sees all counts
        return f.loop.submit(
                        () -> {
                            Figures.Outcomes read = f.proxy.figures().forClass("lookup");
                            Figures.Outcomes write = f.proxy.figures().forClass("charge");
                            return "lookup "
                                    + read.ok.get()
                                    + " "
                                    + read.shed.get()
                                    + " "
                                    + read.errors.get()
                                    + " charge "
                                    + write.ok.get()
                                    + " "
                                    + write.shed.get()
                                    + " "
                                    + write.errors.get()
                                    + " tries "
                                    + f.proxy.figures().tries.get()
                                    + " active "
                                    + f.proxy.figures().active.get();
                        })
                .get();
    }

    @Test
    void everyRequestIsCountedOnceByItsOutcomeAndTriesWhenWritten() throws Exception {
        try (Fixture f = new Fixture(1)) {
            assertEquals(1, f.proxy.figures().poolSize.get());
            Peer client = f.client();
            client.send(Fixture.write("charge", "c1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            node.expect("hello");
            assertEquals("lookup 0 0 0 charge 0 0 0 tries 1 active 1", figures(f));
            node.reset();
            client.expect("SERVER_ERROR failed");
            client.send(Fixture.read("a1", 4000));
            node = f.nodes.get(0).next();
            node.line();
            assertEquals("lookup 0 0 0 charge 0 0 1 tries 2 active 1", figures(f));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1");
            client.send(Fixture.write("charge", "c2", 0));
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            client.send("mg k v Oa Pc=nobody,t=acme,d=9\r\n");
            client.expect("CLIENT_ERROR c, t or d is not known here");
            assertEquals("lookup 1 0 0 charge 0 1 1 tries 2 active 0", figures(f));
        }
    }

    @Test
    void aRequestWhoseClientDisconnectsIsNoLongerActive() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            node.line();
            client.close();
            node.expectEnd();
            assertEquals("lookup 0 0 0 charge 0 0 0 tries 1 active 0", figures(f));
        }
    }

    @Test
    void clientsAreAcceptedUntilTheDrainBegins() throws Exception {
        try (Fixture f = new Fixture(1)) {
            assertTrue(f.proxy.takesClients());
            Future<Void> end = f.proxy.drain(10);
            end.await(5000);
            assertFalse(f.proxy.takesClients());
        }
    }
}
