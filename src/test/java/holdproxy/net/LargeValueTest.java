package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Values over 64 KiB: reads are streamed as fast as the client takes them, writes are buffered. */
class LargeValueTest {
    private static final int MIB = 1 << 20;

    private EmbeddedProxy embedded;
    private List<EmbeddedChannel> nodes;
    private Proxy proxy;
    private EmbeddedChannel client;

    @BeforeEach
    void start() throws IOException {
        embedded =
                new EmbeddedProxy(
                        4, s -> s.replace("\"secondCopies\":false", "\"secondCopies\":true"));
        nodes = embedded.transport.nodeConnections;
        proxy = embedded.proxy;
        client = new EmbeddedChannel(proxy.handlers());
    }

    private void advance(int ms) {
        embedded.advance(ms);
        client.runPendingTasks();
    }

    private static ByteBuf bytes(String text) {
        return WarmUp.bytes(text);
    }

    /** A value of this size whose pieces all differ and which contains lines of the protocol. */
    private static byte[] value(int size) {
        byte[] value = new byte[size];
        for (int i = 0; i < size; i++) {
            value[i] = (byte) (i * 31 + i / 251);
        }
        byte[] line = "\r\nVA 5 Ob\r\nSERVER_ERROR busy\r\n".getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(line, 0, value, size / 2, line.length);
        return value;
    }

    private static byte[] output(EmbeddedChannel channel) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            byte[] part = new byte[b.readableBytes()];
            b.readBytes(part);
            all.writeBytes(part);
            b.release();
        }
        return all.toByteArray();
    }

    private static byte[] response(String id, byte[] value) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(
                ("VA " + value.length + " " + id + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(value);
        all.writeBytes(new byte[] {'\r', '\n'});
        return all.toByteArray();
    }

    /** Requests a value and has the node that receives the command begin it; returns that node. */
    private EmbeddedChannel beginValue(String id, int size) {
        client.writeInbound(bytes(Fixture.read(id, 900)));
        EmbeddedChannel node = nodeWithCommand();
        node.writeInbound(bytes("VA " + size + " O" + id + " h1\r\n"));
        return node;
    }

    /** The node that has just received a command. */
    private EmbeddedChannel nodeWithCommand() {
        return nodes.stream().filter(n -> output(n).length > 0).findFirst().orElseThrow();
    }

    private String counts() {
        var f = proxy.figures();
        return f.forClass("lookup").ok.get()
                + "/"
                + f.forClass("lookup").shed.get()
                + "/"
                + f.forClass("lookup").errors.get()
                + " active "
                + f.active.get();
    }

    @Test
    void aValueOf4MiBIsPassedOnUnchangedWhateverThePieceSize() {
        byte[] value = value(4 * MIB);
        for (int piece : new int[] {64 * 1024, 1_000_003, 4 * MIB}) {
            EmbeddedChannel node = beginValue("a" + piece, value.length);
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            for (int at = 0; at < value.length; at += piece) {
                node.writeInbound(
                        Unpooled.wrappedBuffer(value, at, Math.min(piece, value.length - at)));
                got.writeBytes(output(client));
            }
            node.writeInbound(bytes("\r"));
            node.writeInbound(bytes("\n"));
            got.writeBytes(output(client));
            assertArrayEquals(response("Oa" + piece, value), got.toByteArray());
        }
        assertEquals("3/0/0 active 0", counts());
    }

    /**
     * Guards against a value that is cut off while its node is cut off from the network, which lasts 6 s and
     * shows as silence.
     */
    @Test
    void aValueGoesOnAfterASilenceOfItsNode() {
        byte[] value = value(MIB);
        EmbeddedChannel node = beginValue("a1", value.length);
        node.writeInbound(Unpooled.wrappedBuffer(value, 0, 100_000));
        for (int ms = 0; ms < 6_500; ms += 500) {
            advance(500);
        }
        node.writeInbound(
                Unpooled.wrappedBuffer(value, 100_000, value.length - 100_000), bytes("\r\n"));
        assertArrayEquals(response("Oa1", value), output(client));
        assertEquals("1/0/0 active 0", counts());
    }

    @Test
    void firstBytesArePassedOnAtOnceAndTheDeadlineNoLongerApplies() {
        EmbeddedChannel node = beginValue("a1", MIB);
        byte[] value = value(MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value, 0, 10));
        assertEquals(10 + "VA 1048576 Oa1\r\n".length(), output(client).length);
        assertEquals("0/0/0 active 1", counts());
        for (int i = 0; i < 3; i++) {
            advance(1000); // past the deadline of 900 ms, the value still continues
            node.writeInbound(Unpooled.wrappedBuffer(value, 10 + i, 1));
            assertEquals(1, output(client).length);
        }
        node.writeInbound(Unpooled.wrappedBuffer(value, 13, MIB - 13), bytes("\r\n"));
        assertEquals(MIB - 13 + 2, output(client).length);
        assertEquals("1/0/0 active 0", counts());
    }

    @Test
    void aValueReceivedByteByByteIsDecodedAmongOtherResponses() {
        byte[] value = value(65 * 1024);
        client.writeInbound(bytes(Fixture.read("a1", 4000) + "mn\r\n"));
        EmbeddedChannel node = nodes.get(0);
        output(node);
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        for (byte b : response("Oa1 h0", value)) {
            node.writeInbound(Unpooled.wrappedBuffer(new byte[] {b}));
            got.writeBytes(output(client));
        }
        byte[] wanted = response("Oa1", value);
        assertArrayEquals(wanted, java.util.Arrays.copyOf(got.toByteArray(), wanted.length));
        assertEquals("MN\r\n", got.toString(StandardCharsets.ISO_8859_1).substring(wanted.length));
    }

    @Test
    void aValueWaitsForAnEarlierResponseAndItsNodeIsNotReadMeanwhile() {
        client.writeInbound(bytes(Fixture.read("slow", 4000)));
        EmbeddedChannel slow = nodes.get(0);
        output(slow);
        EmbeddedChannel node = beginValue("a1", MIB);
        byte[] value = value(MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value, 0, 1000));
        assertEquals(0, output(client).length);
        assertFalse(node.config().isAutoRead(), "the node must not be read meanwhile");
        slow.writeInbound(bytes("VA 1 Oslow\r\n1\r\n"));
        assertEquals(
                "VA 1 Oslow\r\n1\r\nVA 1048576 Oa1\r\n".length() + 1000, output(client).length);
        assertTrue(node.config().isAutoRead());
        node.writeInbound(Unpooled.wrappedBuffer(value, 1000, MIB - 1000), bytes("\r\n"));
        assertEquals(MIB - 1000 + 2, output(client).length);
        assertEquals("2/0/0 active 0", counts());
    }

    @Test
    void aCompleteValueWaitsForEarlierResponsesWithoutATimeout() {
        EmbeddedChannel first = beginValue("a1", MIB);
        EmbeddedChannel second = beginValue("a2", 70_000);
        second.writeInbound(
                Unpooled.wrappedBuffer(new byte[70_000]), bytes("\r\n")); // read at once
        for (int i = 0; i < 15; i++) {
            advance(1000);
            first.writeInbound(Unpooled.wrappedBuffer(new byte[1000]));
        }
        assertTrue(client.isActive());
        assertTrue(second.isActive(), "the node connection may already serve other requests");
        first.writeInbound(Unpooled.wrappedBuffer(new byte[MIB - 15_000]), bytes("\r\n"));
        assertEquals(
                "VA 1048576 Oa1\r\nVA 70000 Oa2\r\n".length() + MIB + 70_000 + 4,
                output(client).length);
        assertEquals("2/0/0 active 0", counts());
    }

    @Test
    void aNodeIsReadOnlyWhileTheClientTakesItsData() {
        EmbeddedChannel node = beginValue("a1", MIB);
        byte[] value = value(MIB);
        setWritable(false);
        assertFalse(node.config().isAutoRead());
        node.writeInbound(Unpooled.wrappedBuffer(value, 0, 1000)); // was already in flight
        int before = output(client).length;
        assertEquals("VA 1048576 Oa1\r\n".length(), before);
        advance(1500);
        setWritable(true);
        assertEquals(1000, output(client).length);
        assertTrue(node.config().isAutoRead());
        node.writeInbound(Unpooled.wrappedBuffer(value, 1000, MIB - 1000), bytes("\r\n"));
        assertEquals(MIB - 1000 + 2, output(client).length);
    }

    private void setWritable(boolean writable) {
        client.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        client.runPendingTasks();
    }

    @Test
    void aClientThatStopsReadingIsClosedTogetherWithTheNodeConnection() {
        EmbeddedChannel node = beginValue("a1", MIB);
        setWritable(false);
        advance(9_000);
        assertTrue(client.isActive());
        advance(2_000);
        assertFalse(client.isActive());
        assertFalse(node.isActive());
        assertEquals("0/0/0 active 0", counts());
        assertEquals(0, proxy.openRequests());
    }

    @Test
    void aNodeThatStopsSendingInAValueClosesTheClientConnection() {
        EmbeddedChannel node = beginValue("a1", MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value(1000)));
        advance(9_500);
        assertTrue(client.isActive());
        advance(1_500);
        assertFalse(client.isActive(), "the client must see that its value is incomplete");
        assertEquals("0/0/1 active 0", counts());
        assertEquals(0, proxy.openRequests());
    }

    @Test
    void aNodeThatDisconnectsOrBreaksFramingClosesTheClientConnection() {
        EmbeddedChannel node = beginValue("a1", MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value(1000)));
        node.close();
        assertFalse(client.isActive());
        assertEquals("0/0/1 active 0", counts());
        client = new EmbeddedChannel(proxy.handlers());
        node = beginValue("a2", MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value(MIB)), bytes("no"));
        assertFalse(node.isActive());
        assertFalse(client.isActive());
        assertEquals(
                MIB + "VA 1048576 Oa2\r\n".length(),
                output(client).length,
                "the terminating CRLF must not be passed on");
        assertEquals("0/0/2 active 0", counts());
        assertEquals(0, proxy.openRequests());
    }

    @Test
    void aClientDisconnectClosesTheNodeConnection() {
        EmbeddedChannel node = beginValue("a1", MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value(1000)));
        client.close();
        assertFalse(node.isActive());
        assertEquals("0/0/0 active 0", counts());
        assertEquals(0, proxy.openRequests());
    }

    /** A client's value, received whole but not taken by the client; returns the node's connection. */
    private EmbeddedChannel receiveValueThatIsNotTaken(String id) {
        EmbeddedChannel node = beginValue(id, 70_000);
        setWritable(false);
        node.writeInbound(Unpooled.wrappedBuffer(new byte[70_000]), bytes("\r\n"));
        assertEquals(("VA 70000 O" + id + "\r\n").length(), output(client).length);
        return node;
    }

    /** Guards against a client that leaves and takes along another client's value on the same connection. */
    @Test
    void aClientThatLeavesDoesNotStopAnotherClientsValue() {
        proxy.nodes(Router.ListKind.FULL, embedded.entries.subList(0, 1));
        EmbeddedChannel node = receiveValueThatIsNotTaken("a1");
        EmbeddedChannel leaving = client;
        client = new EmbeddedChannel(proxy.handlers());
        assertEquals(node, beginValue("a2", MIB), "the connection is used again");
        byte[] value = value(MIB);
        node.writeInbound(Unpooled.wrappedBuffer(value, 0, 1000));
        leaving.close();
        node.writeInbound(Unpooled.wrappedBuffer(value, 1000, MIB - 1000), bytes("\r\n"));
        assertArrayEquals(response("Oa2", value), output(client));
        assertEquals("1/0/0 active 0", counts());
        assertEquals(0, proxy.openRequests());
    }

    /** The same fault: the node of a client that takes nothing was read on when another client left. */
    @Test
    void aClientThatLeavesDoesNotResumeReadingForAnotherClientsValue() {
        proxy.nodes(Router.ListKind.FULL, embedded.entries.subList(0, 1));
        EmbeddedChannel node = receiveValueThatIsNotTaken("a1");
        EmbeddedChannel leaving = client;
        client = new EmbeddedChannel(proxy.handlers());
        beginValue("a2", MIB);
        setWritable(false);
        assertFalse(node.config().isAutoRead());
        leaving.close();
        assertFalse(node.config().isAutoRead(), "the other client takes nothing");
        setWritable(true);
        assertTrue(node.config().isAutoRead());
    }

    /** A stream of one client among many on the connection, each of which leaves at another moment. */
    @Test
    void aValueComesWholeWhicheverEarlierClientLeaves() {
        proxy.nodes(Router.ListKind.FULL, embedded.entries.subList(0, 1));
        byte[] value = value(MIB);
        for (int leaves = 0; leaves < 3; leaves++) {
            List<EmbeddedChannel> earlier = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                client = new EmbeddedChannel(proxy.handlers());
                receiveValueThatIsNotTaken("e" + leaves + i);
                earlier.add(client);
            }
            client = new EmbeddedChannel(proxy.handlers());
            EmbeddedChannel node = beginValue("a" + leaves, MIB);
            earlier.get(leaves).close();
            node.writeInbound(Unpooled.wrappedBuffer(value), bytes("\r\n"));
            assertArrayEquals(response("Oa" + leaves, value), output(client));
            earlier.forEach(EmbeddedChannel::close);
        }
        assertEquals(0, proxy.openRequests());
    }

    @Test
    void onceAValueHasBegunNoOtherAttemptMayAnswer() {
        for (int i = 0; i < 60; i++) { // earn the budget for a second copy
            beginValue("e" + i, 70_000)
                    .writeInbound(Unpooled.wrappedBuffer(new byte[70_000]), bytes("\r\n"));
            output(client);
        }
        int before = nodes.size();
        client.writeInbound(bytes(Fixture.read("a1", 4000)));
        EmbeddedChannel first = nodeWithCommand();
        advance(500);
        EmbeddedChannel second = nodeWithCommand();
        second.writeInbound(bytes("VA " + MIB + " Oa1\r\n"), Unpooled.wrappedBuffer(value(1000)));
        assertFalse(first.isActive(), "the other attempt must be cancelled at once");
        assertEquals("VA 1048576 Oa1\r\n".length() + 1000, output(client).length);
        second.writeInbound(Unpooled.wrappedBuffer(new byte[MIB - 1000]), bytes("\r\n"));
        assertEquals(MIB - 1000 + 2, output(client).length);
        assertEquals("61/0/0 active 0", counts());
        assertTrue(nodes.size() <= before + 2);
    }

    @Test
    void aLargeWriteIsBufferedAndSentToANodeComplete() {
        byte[] value = value(4 * MIB);
        client.writeInbound(bytes("ms 7f " + value.length + " Ow1 Pc=charge,t=acme,d=4000\r\n"));
        client.writeInbound(Unpooled.wrappedBuffer(value, 0, MIB));
        assertEquals(0, nodes.size());
        client.writeInbound(Unpooled.wrappedBuffer(value, MIB, 3 * MIB), bytes("\r\n"));
        byte[] sent = output(nodes.get(0));
        String head = new String(sent, 0, 80, StandardCharsets.ISO_8859_1).split("\r\n")[0];
        assertTrue(head.startsWith("ms 7f " + value.length + " Ow1 Pc=charge,t=acme,d="), head);
        assertArrayEquals(
                value, java.util.Arrays.copyOfRange(sent, head.length() + 2, sent.length - 2));
        assertEquals(1, proxy.figures().tries.get());
        nodes.get(0).writeInbound(bytes("HD Ow1 c1\r\n"));
        assertEquals("HD Ow1 c1\r\n", new String(output(client), StandardCharsets.ISO_8859_1));
    }

    @Test
    void aLargeWriteIsSentOnlyAsFastAsTheNodeConnectionTakesIt() {
        proxy.nodes(Router.ListKind.FULL, embedded.entries.subList(0, 1));
        String write = "ms 7f " + MIB + " Ow1 Pc=charge,t=acme,d=4000\r\n";
        client.writeInbound(bytes("mg 7f v Oa1 Pc=lookup,t=acme,d=900\r\n"));
        EmbeddedChannel node = nodeWithCommand(); // same key, so its connection is reused
        node.writeInbound(bytes("VA 1 Oa1\r\n1\r\n"));
        output(client);
        // a write may reuse the connection once no second response can arrive on it
        embedded.ticker.advance(100, TimeUnit.MILLISECONDS);
        proxy.tick();
        proxy.tick();
        client.writeInbound(bytes(write), Unpooled.wrappedBuffer(new byte[MIB]));
        node.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        client.writeInbound(bytes("\r\n"));
        assertTrue(output(node).length < 100, "only the command line may be sent");
        assertEquals(1, proxy.figures().tries.get(), "counted before it was sent completely");
        node.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        node.runPendingTasks();
        assertEquals(MIB + 2, output(node).length);
        assertEquals(2, proxy.figures().tries.get());
    }

    @Test
    void aWriteOverTheMemoryLimitIsRefusedAndTheNextCommandIsRead() {
        List<EmbeddedChannel> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) { // there is memory for four
            EmbeddedChannel c = new EmbeddedChannel(proxy.handlers());
            c.writeInbound(bytes("ms 7f " + 4 * MIB + " Ow" + i + " Pc=charge,t=acme,d=4000\r\n"));
            c.writeInbound(Unpooled.wrappedBuffer(new byte[4 * MIB]));
            clients.add(c);
        }
        clients.get(4).writeInbound(bytes("\r\nmn\r\n"));
        String answer = new String(output(clients.get(4)), StandardCharsets.ISO_8859_1);
        assertTrue(answer.matches("SERVER_ERROR busy [0-9]+\r\nMN\r\n"), answer);
        assertEquals(1, proxy.figures().forClass("charge").shed.get());
        clients.get(0).close(); // in the middle of its value, which frees the memory
        clients.get(4).writeInbound(bytes("ms 7f " + 4 * MIB + " Ox Pc=charge,t=acme,d=4000\r\n"));
        clients.get(4).writeInbound(Unpooled.wrappedBuffer(new byte[4 * MIB]), bytes("\r\n"));
        assertEquals(1, nodes.size());
    }

    @Test
    void aClientSendingALargeValueGetsMoreTimeThanAnIdleOne() {
        String head = "ms 7f " + MIB + " Ow Pc=charge,t=acme,d=4000\r\n";
        EmbeddedChannel idle =
                EmbeddedChannel.builder()
                        .ticker(embedded.ticker)
                        .handlers(proxy.handlers())
                        .build();
        EmbeddedChannel busy =
                EmbeddedChannel.builder()
                        .ticker(embedded.ticker)
                        .handlers(proxy.handlers())
                        .build();
        idle.writeInbound(bytes(head), Unpooled.wrappedBuffer(new byte[100]));
        busy.writeInbound(bytes(head));
        for (int ms = 0; ms < 6_000; ms += 100) {
            embedded.ticker.advance(100, TimeUnit.MILLISECONDS);
            if (busy.isActive()) {
                busy.writeInbound(Unpooled.wrappedBuffer(new byte[1000]));
            }
            idle.runScheduledPendingTasks();
            busy.runScheduledPendingTasks();
            assertEquals(
                    ms + 100 < ClientSession.FIRST_COMMAND_TIMEOUT_MS, idle.isActive(), "at " + ms);
            assertTrue(ms + 100 > 5_000 || busy.isActive(), "at " + ms);
        }
        assertFalse(busy.isActive());
    }
}
