package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections on which a command is half received while idle clients fill the descriptors. */
class HalfReceivedCommandTest {
    private static final int CLIENTS = ConnectionLimits.of(1024, false).clients();

    private EmbeddedProxy embedded;

    @BeforeEach
    void start() throws IOException {
        embedded = new EmbeddedProxy(1);
    }

    private EmbeddedChannel usedClient(String sends) {
        EmbeddedChannel client = embedded.client();
        client.writeInbound(bytes("mn\r\n"));
        assertEquals("MN\r\n", text(client));
        client.writeInbound(bytes(sends));
        return client;
    }

    private List<EmbeddedChannel> idleClients(int count) {
        List<EmbeddedChannel> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(embedded.client());
        }
        return clients;
    }

    /** Guards against requests that are lost in the middle, to make room for idle clients. */
    @Test
    void idleConnectionsMakeRoomBeforeOneWithAHalfReceivedCommand() {
        String command = Fixture.write("charge", "c1", 4000);
        for (int half : new int[] {1, 10, command.length() - 8, command.length() - 1}) {
            EmbeddedChannel client = usedClient(command.substring(0, half));
            List<EmbeddedChannel> idle = idleClients(CLIENTS + 5);
            assertTrue(client.isActive(), "after " + half + " bytes");
            assertFalse(idle.get(0).isActive(), "the longest idle one makes room");
            client.writeInbound(bytes(command.substring(half)));
            assertTrue(text(embedded.transport.latestNodeConnection()).startsWith("ms 7f"));
            client.close();
            idle.forEach(EmbeddedChannel::close);
        }
    }

    /** The same for commands that were read and wait for their connection's turn. */
    @Test
    void idleConnectionsMakeRoomBeforeOneWithCommandsThatWaitForTheirTurn() {
        embedded.transport.keepsNextIteration = true;
        int commands = 3 * CommandDecoder.LINES_PER_TURN;
        EmbeddedChannel client = usedClient("mn\r\n".repeat(commands));
        idleClients(CLIENTS + 5);
        assertTrue(client.isActive());
        while (!embedded.transport.nextIteration.isEmpty()) {
            embedded.transport.runNextIteration();
        }
        assertEquals("MN\r\n".repeat(commands), text(client));
    }

    @Test
    void aConnectionIsIdleAgainOnceItsCommandIsAnswered() {
        EmbeddedChannel client = usedClient("m");
        client.writeInbound(bytes("n\r\n"));
        assertEquals("MN\r\n", text(client));
        idleClients(CLIENTS);
        assertFalse(client.isActive());
    }

    /** Where no connection is idle, new ones are refused, but not for those that write byte by byte for ever. */
    @Test
    void withoutIdleConnectionsOneThatTakesTooLongForItsCommandMakesRoom() {
        List<EmbeddedChannel> writing = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            writing.add(usedClient("mg 7f"));
        }
        EmbeddedChannel refused = embedded.client();
        refused.writeInbound(bytes(Fixture.read("a1", 4000)));
        assertTrue(text(refused).startsWith("SERVER_ERROR busy"));
        for (int ms = 0; ms <= 6000; ms += 2000) {
            embedded.advance(2000);
            writing.forEach(c -> c.writeInbound(bytes("f")));
        }
        EmbeddedChannel accepted = embedded.client();
        assertEquals("SERVER_ERROR busy\r\n", text(writing.get(0)));
        assertFalse(writing.get(0).isActive());
        assertTrue(writing.get(1).isActive());
        accepted.writeInbound(bytes(Fixture.read("a2", 4000)));
        assertTrue(accepted.isActive(), "a connection over the limit is closed after its answer");
    }
}
