package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against peers that stop within a command, an answer or a value and use up the memory for read
 * buffers, after which the event loop waited for memory at each read.
 */
class IncompleteInputTest {
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int READ_BYTES = 8 * 1024;

    /** As many values of 64 KiB as are held in parts, in 8 MiB. */
    private static final int HELD_VALUES = 128;

    private final UnpooledByteBufAllocator readBuffers = new UnpooledByteBufAllocator(true);
    private EmbeddedProxy embedded;
    private EmbeddedTransport transport;
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        embedded = new EmbeddedProxy(1);
        transport = embedded.transport;
        proxy = embedded.proxy;
    }

    private EmbeddedChannel client() {
        return embedded.client();
    }

    /** Receives text as from a socket, in a direct buffer with room for more. */
    private void receive(EmbeddedChannel channel, String text) {
        for (int from = 0; from < text.length(); from += READ_BYTES) {
            String part = text.substring(from, Math.min(text.length(), from + READ_BYTES));
            ByteBuf buffer = readBuffers.directBuffer(READ_BYTES);
            buffer.writeCharSequence(part, StandardCharsets.ISO_8859_1);
            channel.writeInbound(buffer);
        }
    }

    private void assertNoReadBufferIsKept() {
        assertEquals(0, readBuffers.metric().usedDirectMemory());
    }

    private static String write(int id) {
        return "ms 7f " + VALUE_BYTES + " Ow" + id + " Pc=charge,t=acme,d=4000\r\n";
    }

    private void advance(EmbeddedChannel channel, int ms) {
        embedded.advance(ms);
        channel.runScheduledPendingTasks();
    }

    @Test
    void halfSentWritesKeepNoReadBufferAndABoundedNumberOfValues() {
        List<EmbeddedChannel> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(client());
            receive(clients.get(i), write(i) + "w".repeat(VALUE_BYTES - 16));
            assertNoReadBufferIsKept();
        }
        int refused = 0;
        for (int i = 299; i >= 0; i--) {
            receive(clients.get(i), "w".repeat(16) + "\r\n");
            refused += text(clients.get(i)).startsWith("SERVER_ERROR busy") ? 1 : 0;
        }
        assertTrue(refused >= 300 - HELD_VALUES, refused + " refused");
        assertTrue(refused < 300, "those that are held are served");
        assertNoReadBufferIsKept();
    }

    @Test
    void theMemoryOfHalfSentWritesIsFreeAgainWhenTheirClientsHaveGone() {
        for (int round = 0; round < 20; round++) {
            List<EmbeddedChannel> clients = new ArrayList<>();
            for (int i = 0; i < HELD_VALUES; i++) {
                clients.add(client());
                receive(clients.get(i), write(i) + "w".repeat(VALUE_BYTES - 16));
            }
            receive(clients.get(HELD_VALUES - 1), "w".repeat(16) + "\r\n");
            assertEquals("", text(clients.get(HELD_VALUES - 1)), "forwarded in round " + round);
            clients.forEach(EmbeddedChannel::close);
        }
    }

    /** The limit is for values in parts: one that is received at once is not refused for it. */
    @Test
    void aWriteThatArrivesWholeIsServedBesideHalfSentOnes() {
        for (int i = 0; i < 300; i++) {
            receive(client(), write(i) + "w".repeat(VALUE_BYTES - 16));
        }
        EmbeddedChannel client = client();
        client.writeInbound(bytes(write(999) + "w".repeat(VALUE_BYTES) + "\r\n"));
        assertEquals("", text(client));
        assertTrue(text(transport.latestNodeConnection()).startsWith("ms 7f "));
    }

    @Test
    void commandsInPiecesOfAnySizeKeepNoReadBuffer() {
        String commands = "mn\r\nms 7f 5 Oa Pc=charge,t=acme,d=x\r\nhe\r\nl\r\nx\r\nmn\r\n";
        String answers = "MN\r\nCLIENT_ERROR c, t or d is not known here\r\nERROR\r\nMN\r\n";
        for (int piece = 1; piece < commands.length(); piece++) {
            EmbeddedChannel client = client();
            for (int from = 0; from < commands.length(); from += piece) {
                receive(
                        client,
                        commands.substring(from, Math.min(commands.length(), from + piece)));
                assertNoReadBufferIsKept();
            }
            assertEquals(answers, text(client), "in pieces of " + piece);
        }
    }

    @Test
    void halfAnswersOfNodesKeepNoReadBufferAndABoundedNumberOfValues() {
        int waiting = 0;
        for (int i = 0; i < 300; i++) {
            EmbeddedChannel client = client();
            client.writeInbound(bytes(Fixture.read("a" + i, 4000)));
            EmbeddedChannel node = transport.latestNodeConnection();
            if (text(node).isEmpty()) {
                continue; // refused, as too many attempts wait
            }
            receive(node, "VA " + VALUE_BYTES + " Oa" + i + "\r\n" + "v".repeat(VALUE_BYTES - 9));
            assertNoReadBufferIsKept();
            if (waiting++ < HELD_VALUES) {
                continue;
            }
            receive(node, "v".repeat(9) + "\r\n");
            assertTrue(node.isActive(), "the connection stays in step");
            assertFalse(text(client).startsWith("VA "), "there was no memory for it");
            return;
        }
        throw new AssertionError("only " + waiting + " attempts waited");
    }

    @Test
    void streamedValuesCountWithTheirBuffersFromTheirReceipt() {
        EmbeddedChannel client = client();
        client.writeInbound(bytes(Fixture.read("first", 4000)));
        client.writeInbound(bytes(Fixture.read("a1", 4000)));
        EmbeddedChannel node = transport.latestNodeConnection();
        text(node);
        ByteBuf piece = readBuffers.directBuffer(READ_BYTES);
        piece.writeCharSequence(
                "VA 1000000 Oa1\r\n" + "v".repeat(5_000), StandardCharsets.ISO_8859_1);
        node.writeInbound(piece);
        assertTrue(proxy.relays.heldBytes() >= READ_BYTES, "it waits for an earlier answer");
        receive(node, "v".repeat(10));
        assertEquals(
                READ_BYTES, readBuffers.metric().usedDirectMemory(), "a small piece is copied");
        client.close();
        client.runPendingTasks();
        assertEquals(0, proxy.relays.heldBytes());
        assertNoReadBufferIsKept();
    }

    @Test
    void nodesAreReadInSmallPartsOnceStreamedValuesHoldTheirLimit() {
        boolean[] hasRoom = {true};
        RecvByteBufAllocator.Handle handle = new RelayReceiveBuffers(() -> hasRoom[0]).newHandle();
        handle.reset(embedded.timers.config());
        for (int i = 0; i < 10; i++) {
            handle.attemptedBytesRead(handle.guess());
            handle.lastBytesRead(handle.guess());
        }
        assertEquals(64 * 1024, handle.guess());
        hasRoom[0] = false;
        assertEquals(RelayReceiveBuffers.SMALL_READ_BYTES, handle.guess());
        ByteBuf buffer = handle.allocate(Unpooled.buffer().alloc());
        assertEquals(RelayReceiveBuffers.SMALL_READ_BYTES, buffer.capacity());
        buffer.release();
    }

    /** Guards against half commands that stay for ever on a connection that has been used before. */
    @Test
    void aClientThatStopsWithinALaterCommandGetsAnErrorAndIsDisconnected() {
        for (String half : new String[] {"mg 7f", write(1) + "hello", "ms 7f 2 Oa Pc=x\r\nhi\r"}) {
            EmbeddedChannel client = client();
            client.writeInbound(bytes("mn\r\n" + half));
            assertEquals("MN\r\n", text(client));
            advance(client, ClientSession.INCOMPLETE_COMMAND_TIMEOUT_MS - 1);
            assertTrue(client.isActive());
            advance(client, 1);
            assertEquals("CLIENT_ERROR incomplete command\r\n", text(client));
            assertFalse(client.isActive());
        }
    }

    @Test
    void aClientThatGoesOnWithALaterCommandStaysConnected() {
        EmbeddedChannel client = client();
        client.writeInbound(bytes("mn\r\n"));
        String command = "ms 7f 5 Oa Pc=nobody,t=acme,d=900\r\nhello\r\n";
        for (char c : command.toCharArray()) {
            advance(client, 1_000);
            client.writeInbound(bytes(String.valueOf(c)));
        }
        assertTrue(text(client).startsWith("MN\r\nCLIENT_ERROR c, t or d is not known here"));
        advance(client, 60_000);
        assertNull(client.readOutbound());
        assertTrue(client.isActive());
    }
}
