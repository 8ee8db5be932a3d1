package holdproxy.membership;

import static holdproxy.Awaiting.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.input.BadInput;
import holdproxy.membership.Member.State;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Frames between processes and the encoding of membership messages, with valid and malformed input. */
class LinksTest {
    private static final long TIMEOUT_S = 60;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<byte[]> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDown() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Links links(Map<String, InetSocketAddress> routes) throws Exception {
        Links links =
                new Links(
                        loop,
                        routes,
                        text -> {
                            throw new BadInput("no address: " + text);
                        },
                        lines::add);
        links.receive(
                1,
                frame -> {
                    if (frame.length == 1) {
                        throw new BadInput("a frame of one byte is invalid");
                    }
                    frames.add(frame);
                });
        return links;
    }

    private InetSocketAddress listen(Links links, InetSocketAddress at) throws Exception {
        return (InetSocketAddress) links.listen(at).sync().channel().localAddress();
    }

    private static InetSocketAddress any() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private byte[] next() throws InterruptedException {
        byte[] frame = frames.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(frame != null, "no frame received");
        return frame;
    }

    private void send(Links from, String to, byte[] frame) throws Exception {
        loop.submit(() -> from.send(to, "nowhere", 1, frame)).get();
    }

    @Test
    void framesArriveInOrderAndUndeliverableOnesAreDroppedAndCounted() throws Exception {
        Links to = links(Map.of());
        InetSocketAddress at = listen(to, any());
        Links from = links(Map.of("b", at));
        for (int i = 0; i < 50; i++) {
            send(from, "b", new byte[] {(byte) i, 0});
        }
        for (int i = 0; i < 50; i++) {
            assertEquals(i, next()[0]);
        }
        byte[] longest = new byte[Links.MAX_FRAME_BYTES];
        send(from, "b", longest);
        assertEquals(longest.length, next().length);
        send(from, "b", new byte[Links.MAX_FRAME_BYTES + 1]);
        send(from, "unknown", new byte[2]);
        assertEquals(2, from.dropped());
        assertEquals(51, from.sentFrames());
        loop.submit(() -> from.closeConnection("b", "nowhere")).get();
        send(from, "b", new byte[] {7, 7});
        assertArrayEquals(new byte[] {7, 7}, next());
    }

    @Test
    void aProcessThatStartsLaterIsReached() throws Exception {
        Links gone = links(Map.of());
        InetSocketAddress at = listen(gone, any());
        loop.submit(gone::close).get();
        Links from = links(Map.of("b", at));
        send(from, "b", new byte[2]);
        await(TIMEOUT_S, () -> from.dropped() > 0);
        listen(links(Map.of()), at);
        await(
                TIMEOUT_S,
                () -> {
                    send(from, "b", new byte[2]);
                    return !frames.isEmpty();
                });
    }

    @Test
    void invalidFramesCloseOnlyTheirOwnConnection() throws Exception {
        Links to = links(Map.of());
        InetSocketAddress at = listen(to, any());
        byte[][] bad = {
            {0, 0, 0, 3, 2, 1, 9}, {0, 0, 0, 1, 1}, {0, 0, 0, 3, 1, 1, 9}, {127, 0, 0, 0, 1, 1}
        };
        for (byte[] each : bad) {
            try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
                socket.getOutputStream().write(each);
                assertEquals(-1, socket.getInputStream().read(), Arrays.toString(each));
            }
            assertTrue(
                    lines.poll(TIMEOUT_S, TimeUnit.SECONDS) != null,
                    "the closed connection is not logged");
        }
        Links from = links(Map.of("b", at));
        send(from, "b", new byte[2]);
        next();
    }

    private static Message message() {
        Member sender =
                new Member(
                        "proxy-1", "10.0.0.1:7000", 1_764_000_000_123L, 3, State.ALIVE, "proxy-1");
        return new Message(
                Message.Kind.PING_REQUEST,
                Long.MAX_VALUE,
                "proxy-2",
                Long.MIN_VALUE,
                sender,
                List.of(sender, new Member("proxy-2", "", -1, 0, State.DEAD, "proxy-1")));
    }

    @Test
    void messagesSurviveEncodingAndDecoding() {
        assertEquals(message(), MessageCodec.decode(MessageCodec.encode(message())));
    }

    /** Changed, truncated and random bytes: each is decoded or rejected with BadInput, nothing else. */
    @Test
    void malformedMessagesAreRejected() {
        Random random = new Random(1);
        byte[] good = MessageCodec.encode(message());
        int bad = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes =
                    i % 3 == 0
                            ? new byte[random.nextInt(60)]
                            : Arrays.copyOf(good, random.nextInt(good.length));
            if (i % 3 == 0) {
                random.nextBytes(bytes);
            } else if (i % 3 == 1) {
                bytes = good.clone();
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            try {
                MessageCodec.decode(bytes);
            } catch (BadInput e) {
                bad++;
            }
        }
        assertTrue(bad > 10_000, bad + " were rejected");
        assertThrows(BadInput.class, () -> MessageCodec.decode(new byte[0]));
    }
}
