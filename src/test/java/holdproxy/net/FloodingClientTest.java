package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a client that holds up all others: lines without end were handled in one iteration of the
 * event loop, with a system call for each answer.
 */
class FloodingClientTest {
    private static final int MANY = 20_000;

    private EmbeddedProxy embedded;
    private EmbeddedTransport transport;
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        embedded = new EmbeddedProxy(2);
        transport = embedded.transport;
        transport.keepsNextIteration = true;
        proxy = embedded.proxy;
    }

    private EmbeddedChannel client() {
        return embedded.client();
    }

    private static int lines(EmbeddedChannel channel) {
        return (int) text(channel).lines().count();
    }

    /** The number of commands that nodes have received since the last call. */
    private int forwarded() {
        return transport.nodeConnections.stream().mapToInt(FloodingClientTest::lines).sum();
    }

    private static String reads(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(Fixture.read("f" + i, 4000));
        }
        return all.toString();
    }

    @Test
    void oneIterationHandlesABoundedPartOfAClientsInput() {
        EmbeddedChannel flood = client();
        flood.writeInbound(bytes("mn\r\n".repeat(MANY)));
        int answered = lines(flood);
        assertEquals(CommandDecoder.LINES_PER_TURN, answered);
        assertFalse(flood.config().isAutoRead(), "it is not read meanwhile");
        client().writeInbound(bytes(Fixture.read("a1", 900)));
        assertEquals(1, forwarded(), "another client is served meanwhile");
        while (answered < MANY) {
            transport.runNextIteration();
            int more = lines(flood);
            assertTrue(more > 0 && more <= CommandDecoder.LINES_PER_TURN, more + " lines at once");
            answered += more;
        }
        assertEquals(MANY, answered);
        assertTrue(flood.config().isAutoRead(), "it is read again");
        flood.writeInbound(bytes("mn\r\n"));
        assertEquals("MN\r\n", text(flood));
    }

    @Test
    void manyFloodsTogetherAreHandledInBoundedParts() {
        List<EmbeddedChannel> floods = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            floods.add(client());
            floods.get(i).writeInbound(bytes("mn\r\n".repeat(300)));
            lines(floods.get(i));
        }
        for (int left = 100 * (300 - CommandDecoder.LINES_PER_TURN); left > 0; ) {
            transport.runNextIteration();
            int more = floods.stream().mapToInt(FloodingClientTest::lines).sum();
            assertTrue(more > 0 && more <= 4 * CommandDecoder.LINES_PER_TURN, more + " at once");
            left -= more;
        }
    }

    @Test
    void theAnswersOfOneTurnAreFlushedTogether() {
        int[] flushes = new int[1];
        EmbeddedChannel flood =
                new EmbeddedChannel(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void flush(ChannelHandlerContext ctx) {
                                flushes[0]++;
                                ctx.flush();
                            }
                        });
        flood.pipeline().addLast(proxy.handlers());
        flood.pipeline().fireChannelActive();
        flood.writeInbound(bytes("mn\r\n".repeat(2 * CommandDecoder.LINES_PER_TURN)));
        transport.runNextIteration();
        assertEquals(2 * CommandDecoder.LINES_PER_TURN, lines(flood));
        assertTrue(flushes[0] <= 4, flushes[0] + " flushes");
    }

    @Test
    void aPeerThatSendsNoCommandsIsClosedAfterSomeErrors() {
        EmbeddedChannel peer = client();
        peer.writeInbound(bytes("x\r\n".repeat(MANY)));
        assertEquals("ERROR\r\n".repeat(16), text(peer));
        assertFalse(peer.isActive());
        EmbeddedChannel client = client();
        for (int i = 0; i < 3; i++) {
            client.writeInbound(bytes("x\r\n".repeat(15) + "mn\r\n"));
            assertEquals("ERROR\r\n".repeat(15) + "MN\r\n", text(client));
        }
        assertTrue(client.isActive());
    }

    /** The end of a connection is read after all that was sent on it, so its client may have left long ago. */
    @Test
    void nothingIsSentForAClientWhoseInputHasWaitedTooLong() {
        EmbeddedChannel flood = client();
        flood.writeInbound(bytes(reads(1_000)));
        assertTrue(forwarded() > 0);
        embedded.ticker.advance(EventQueue.MAX_INPUT_AGE_US + 1_000, TimeUnit.MICROSECONDS);
        proxy.tick();
        proxy.tick();
        for (EmbeddedChannel node : List.copyOf(transport.nodeConnections)) {
            node.writeInbound(bytes("SERVER_ERROR busy\r\n"));
        }
        for (int i = 0; i < 3; i++) {
            transport.runNextIteration();
        }
        assertEquals(0, forwarded());
        assertTrue(text(flood).contains("SERVER_ERROR busy"));
    }

    /** Guards against attempts for clients whose end waits behind what they sent, in the system or here. */
    @Test
    void aClientMayHaveLeftUntilItsSocketIsFoundEmpty() throws Exception {
        EmbeddedProxy embedded = new EmbeddedProxy(1);
        embedded.transport.keepsNextIteration = true;
        long[] nowUs = {0};
        CommandDecoder decoder =
                new CommandDecoder(
                        new Command.Names(),
                        new Command.InputBudgets(new ByteBudget(0), new ByteBudget(0)),
                        new InputScheduler(embedded.transport),
                        () -> nowUs[0]);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        channel.writeInbound(WarmUp.bytes("mn\r\n".repeat(CommandDecoder.LINES_PER_TURN + 1)));
        nowUs[0] = 100_000;
        embedded.transport.runNextIteration();
        assertFalse(decoder.hasUndecodedInput());
        assertEquals(100_000, decoder.inputDelayUs(nowUs[0]), "its end may wait in the system");
        channel.writeInbound(WarmUp.bytes("mn\r\n"));
        embedded.transport.runNextIteration();
        assertEquals(100_000, decoder.inputDelayUs(nowUs[0]), "more came in that iteration");
        embedded.transport.runNextIteration();
        assertEquals(0, decoder.inputDelayUs(nowUs[0]));
    }

    /** A connection that is not read is not found empty. */
    @Test
    void aConnectionThatWaitsForItsTurnStaysBehind() throws Exception {
        EmbeddedProxy embedded = new EmbeddedProxy(1);
        embedded.transport.keepsNextIteration = true;
        long[] nowUs = {0};
        InputBacklog backlog =
                new InputBacklog(new InputScheduler(embedded.transport), () -> nowUs[0]);
        backlog.begin();
        backlog.resume();
        backlog.pause();
        nowUs[0] = 100_000;
        for (int i = 0; i < 3; i++) {
            embedded.transport.runNextIteration();
            assertEquals(100_000, backlog.ageUs(nowUs[0]));
        }
        backlog.resume();
        embedded.transport.runNextIteration();
        assertEquals(0, backlog.ageUs(nowUs[0]));
    }

    /** A client whose attempt waits for a connection, and whose input has waited for too long. */
    private static EmbeddedChannel clientWhoseInputWaits(EmbeddedProxy embedded) {
        embedded.transport.keepsNextIteration = true;
        embedded.transport.keepsDials = true;
        EmbeddedChannel client = embedded.client();
        client.writeInbound(WarmUp.bytes(Fixture.read("a1", 4000)));
        client.writeInbound(WarmUp.bytes("mn\r\n".repeat(2 * CommandDecoder.LINES_PER_TURN)));
        embedded.advance(70);
        return client;
    }

    /** The same for an attempt that waits for its connection. */
    @Test
    void anAttemptWaitsWhileTheInputOfItsClientHasWaitedTooLong() throws Exception {
        EmbeddedProxy embedded = new EmbeddedProxy(1);
        clientWhoseInputWaits(embedded);
        EmbeddedChannel node = embedded.transport.latestNodeConnection();
        node.register();
        assertEquals("", WarmUp.text(node));
        for (int i = 0; i < 4; i++) {
            embedded.transport.runNextIteration(); // its socket is found empty, and it has not left
        }
        assertTrue(WarmUp.text(node).contains("Oa1 "));
    }

    @Test
    void anAttemptIsNotBegunOnceItsClientIsFoundToHaveLeft() throws Exception {
        EmbeddedProxy embedded = new EmbeddedProxy(1);
        EmbeddedChannel client = clientWhoseInputWaits(embedded);
        EmbeddedChannel node = embedded.transport.latestNodeConnection();
        node.register();
        client.close();
        client.runPendingTasks();
        for (int i = 0; i < 4; i++) {
            embedded.transport.runNextIteration();
        }
        assertEquals("", WarmUp.text(node));
        assertEquals(0, embedded.proxy.openRequests());
    }

    @Test
    void aClientThatClosesBetweenTurnsIsForgotten() {
        EmbeddedChannel flood = client();
        flood.writeInbound(bytes(reads(1_000)));
        forwarded();
        flood.close();
        flood.runPendingTasks();
        for (int i = 0; i < 10; i++) {
            transport.runNextIteration();
        }
        assertEquals(0, forwarded());
        assertEquals(0, proxy.figures().active.get());
        assertTrue(transport.nextIteration.isEmpty());
    }

    /** The rest of what was read is not decoded: a node may send answers without end. */
    @Test
    void aNodeThatAnswersNothingIsClosedAtItsFirstAnswer() {
        client().writeInbound(bytes(Fixture.read("a1", 900)));
        assertEquals(1, forwarded());
        EmbeddedChannel node = transport.latestNodeConnection();
        node.writeInbound(bytes("VA 1 Oa1\r\n1\r\n" + "HD Ob\r\n".repeat(MANY)));
        assertFalse(node.isActive());
        NodeResponse.Decoder decoder = node.pipeline().get(NodeResponse.Decoder.class);
        assertTrue(decoder == null || !decoder.hasUndecodedInput());
    }

    /** A read that leaves room in its buffer ends the pass; with small buffers such a peer cost sixteen. */
    @Test
    void aPeerThatSendsByteByByteIsReadInBuffersThatTakeAllOfIt() {
        RecvByteBufAllocator.Handle reads =
                Sockets.reads(Sockets.MAX_CLIENT_READ_BYTES, Sockets.MAX_CLIENT_READS_PER_PASS)
                        .newHandle();
        for (int i = 0; i < 50; i++) {
            reads.reset(embedded.timers.config());
            reads.attemptedBytesRead(reads.guess());
            reads.lastBytesRead(40);
            reads.incMessagesRead(1);
            assertFalse(reads.continueReading());
            reads.readComplete();
            assertTrue(reads.guess() >= Sockets.MIN_READ_BYTES, reads.guess() + " bytes");
        }
        for (int i = 0; i < 50; i++) {
            reads.attemptedBytesRead(reads.guess());
            reads.lastBytesRead(reads.guess());
        }
        assertEquals(Sockets.MAX_CLIENT_READ_BYTES, reads.guess());
    }
}
