package holdproxy.harness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each link fault, between two blocking sockets; waits end on a condition, or fail after 30 s. */
class LinkTest {
    private static final int TIMEOUT_MS = 30_000;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private ServerSocket server;
    private Link link;
    private Socket caller;
    private Socket callee;

    @BeforeEach
    void connected() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        link = Link.open(loop, free(), (InetSocketAddress) server.getLocalSocketAddress(), 1);
        caller = connect();
        callee = accept();
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        caller.close();
        callee.close();
        server.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(link.address(), TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNs, "the condition was not met in time");
            Thread.onSpinWait();
        }
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new SplittableRandom(3).nextBytes(bytes);
        return bytes;
    }

    private void assertPasses(Socket from, Socket to, byte[] bytes) throws IOException {
        Thread sending =
                new Thread(
                        () -> {
                            try {
                                from.getOutputStream().write(bytes);
                            } catch (IOException e) {
                                // the reader notices the missing bytes
                            }
                        });
        sending.start();
        assertArrayEquals(bytes, to.getInputStream().readNBytes(bytes.length));
    }

    private static void assertClosed(Socket socket) {
        // a reset, or an ordinary end if all bytes before it were read already
        try {
            assertEquals(-1, socket.getInputStream().read());
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("reset"), e.toString());
        }
    }

    @Test
    void aHealthyLinkPassesAllBytesAndTheEndOfEachSide() throws IOException {
        assertPasses(caller, callee, bytes(3_000_000));
        assertPasses(callee, caller, bytes(3_000_000));
        caller.shutdownOutput();
        assertEquals(-1, callee.getInputStream().read());
        assertPasses(callee, caller, bytes(10_000)); // the other direction goes on
        callee.close();
        assertEquals(-1, caller.getInputStream().read());
    }

    @Test
    void aCutLinkDropsBytesAndResetsTheConnectionAfterwards() throws IOException {
        link.state(LinkState.CUT, LinkState.HEALTHY);
        caller.getOutputStream().write(bytes(100));
        await(() -> link.dropped() == 100);
        assertPasses(callee, caller, bytes(100)); // the opposite direction has no fault
        link.state(LinkState.HEALTHY, LinkState.HEALTHY);
        assertClosed(caller);
        assertClosed(callee);
        try (Socket again = connect();
                Socket there = accept()) {
            assertPasses(again, there, bytes(100));
        }
    }

    @Test
    void aConnectionThatLostNothingSurvivesACut() throws IOException {
        link.state(LinkState.CUT, LinkState.CUT);
        link.state(LinkState.HEALTHY, LinkState.HEALTHY);
        assertPasses(caller, callee, bytes(100));
    }

    @Test
    void anUnreadLinkDelaysBytesAndLosesNone() throws IOException {
        link.state(LinkState.UNREAD, LinkState.HEALTHY);
        byte[] bytes = bytes(100_000);
        caller.getOutputStream().write(bytes);
        assertPasses(callee, caller, bytes(100));
        assertEquals(0, callee.getInputStream().available());
        link.state(LinkState.HEALTHY, LinkState.HEALTHY);
        assertArrayEquals(bytes, callee.getInputStream().readNBytes(bytes.length));
    }

    @Test
    void aRefusingLinkRejectsNewConnectionsAndKeepsOpenOnes() throws IOException {
        link.refuse(true);
        assertThrows(ConnectException.class, this::connect);
        assertPasses(caller, callee, bytes(100));
        link.refuse(false);
        try (Socket again = connect();
                Socket there = accept()) {
            assertPasses(there, again, bytes(100));
        }
    }

    @Test
    void aResetClosesBothSidesOfAConnection() throws IOException {
        link.reset();
        assertClosed(caller);
        assertClosed(callee);
    }

    @Test
    void aCallerWhoseTargetRefusesIsReset() throws IOException {
        server.close();
        try (Socket refused = connect()) {
            assertClosed(refused);
        } catch (SocketException e) {
            // the reset can arrive while connect() still polls; a refusal by the link itself would
            // be a ConnectException
            assertFalse(e instanceof ConnectException, e.toString());
            assertTrue(e.getMessage().contains("reset"), e.toString());
        }
    }

    @Test
    void aDelayIsNoShorterThanItsTimeAndKeepsTheOrder() throws IOException {
        link.state(LinkState.delayed(120, 60, 0), LinkState.HEALTHY);
        byte[] bytes = bytes(50);
        long startNs = System.nanoTime();
        for (byte b : bytes) {
            caller.getOutputStream().write(b);
        }
        assertEquals(bytes[0], (byte) callee.getInputStream().read());
        assertTrue(
                System.nanoTime() - startNs >= TimeUnit.MILLISECONDS.toNanos(120),
                "the bytes came too early");
        for (int i = 1; i < bytes.length; i++) {
            assertEquals(bytes[i], (byte) callee.getInputStream().read());
        }
    }

    @Test
    void aThrottledLinkTakesAtLeastItsTimeAndLosesNothing() throws IOException {
        link.state(LinkState.throttled(50_000), LinkState.HEALTHY);
        long startNs = System.nanoTime();
        assertPasses(caller, callee, bytes(20_000)); // takes 0.4 s, less the first step
        assertTrue(
                System.nanoTime() - startNs >= TimeUnit.MILLISECONDS.toNanos(300),
                "the bytes came too early");
    }

    @Test
    void aLinkWithAByteLimitIsResetAfterThoseBytes() throws IOException {
        link.state(LinkState.HEALTHY, LinkState.resetAfter(10));
        callee.getOutputStream().write(bytes(25));
        byte[] came = new byte[10];
        assertEquals(10, caller.getInputStream().readNBytes(came, 0, 10));
        assertClosed(caller);
        assertClosed(callee);
    }

    @Test
    void bytesQueuedForASlowReaderAreBounded() throws IOException {
        byte[] bytes = bytes(16 << 20);
        Thread sending =
                new Thread(
                        () -> {
                            try {
                                caller.getOutputStream().write(bytes);
                            } catch (IOException e) {
                                // the reader notices the missing bytes
                            }
                        });
        sending.start();
        link.state(LinkState.delayed(50, 0, 0), LinkState.HEALTHY);
        assertArrayEquals(bytes, callee.getInputStream().readNBytes(bytes.length));
        assertTrue(link.maxQueuedBytes() < 2 << 20, link.maxQueuedBytes() + " bytes were held");
    }

    @Test
    void negativeDelaysAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> LinkState.delayed(-1, 0, 0));
    }
}
