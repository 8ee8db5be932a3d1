package holdproxy.rig;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each link fault, between two blocking sockets; waits end on a condition, or fail after 30 s. */
class RelayTest {
    private static final int END_MS = 30_000;

    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private ServerSocket server;
    private Relay relay;
    private Socket caller;
    private Socket callee;

    @BeforeEach
    void connected() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        server.setSoTimeout(END_MS);
        relay = Relay.open(loop, free(), (InetSocketAddress) server.getLocalSocketAddress(), 1);
        caller = call();
        callee = taken();
    }

    @AfterEach
    void end() throws IOException {
        relay.close();
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

    private Socket call() throws IOException {
        Socket socket = new Socket();
        socket.connect(relay.address(), END_MS);
        socket.setSoTimeout(END_MS);
        return socket;
    }

    private Socket taken() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(END_MS);
        return socket;
    }

    private static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_MS);
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

    private void passes(Socket from, Socket to, byte[] bytes) throws IOException {
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

    private static void ended(Socket socket) {
        // a reset, or an ordinary end if all bytes before it were read already
        try {
            assertEquals(-1, socket.getInputStream().read());
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("reset"), e.toString());
        }
    }

    @Test
    void aSoundLinkPassesEverythingBothWaysAndTheEndOfEachSide() throws IOException {
        passes(caller, callee, bytes(3_000_000));
        passes(callee, caller, bytes(3_000_000));
        caller.shutdownOutput();
        assertEquals(-1, callee.getInputStream().read());
        passes(callee, caller, bytes(10_000)); // the other direction goes on
        callee.close();
        assertEquals(-1, caller.getInputStream().read());
    }

    @Test
    void aCutLinkIsSilentInItsDirectionAndResetsWhatItHoledOnceItIsSound() throws IOException {
        relay.state(LinkState.CUT, LinkState.SOUND);
        caller.getOutputStream().write(bytes(100));
        await(() -> relay.dropped() == 100);
        passes(callee, caller, bytes(100)); // the opposite direction has no fault
        relay.state(LinkState.SOUND, LinkState.SOUND);
        ended(caller);
        ended(callee);
        try (Socket again = call();
                Socket there = taken()) {
            passes(again, there, bytes(100));
        }
    }

    @Test
    void aCutLinkThatKeptNothingBackGoesOn() throws IOException {
        relay.state(LinkState.CUT, LinkState.CUT);
        relay.state(LinkState.SOUND, LinkState.SOUND);
        passes(caller, callee, bytes(100));
    }

    @Test
    void whatIsNotReadWaitsWithItsSender() throws IOException {
        relay.state(LinkState.UNREAD, LinkState.SOUND);
        byte[] bytes = bytes(100_000);
        caller.getOutputStream().write(bytes);
        passes(callee, caller, bytes(100));
        assertEquals(0, callee.getInputStream().available());
        relay.state(LinkState.SOUND, LinkState.SOUND);
        assertArrayEquals(bytes, callee.getInputStream().readNBytes(bytes.length));
    }

    @Test
    void aLinkThatRefusesTakesNothingNewAndLeavesWhatIsOpen() throws IOException {
        relay.refuse(true);
        assertThrows(ConnectException.class, this::call);
        passes(caller, callee, bytes(100));
        relay.refuse(false);
        try (Socket again = call();
                Socket there = taken()) {
            passes(there, again, bytes(100));
        }
    }

    @Test
    void aResetEndsWhatIsOpenOnBothSides() throws IOException {
        relay.reset();
        ended(caller);
        ended(callee);
    }

    @Test
    void aCallerWhoseTargetRefusesIsReset() throws IOException {
        server.close();
        try (Socket vain = call()) {
            ended(vain);
        }
    }

    @Test
    void aDelayIsNoShorterThanItsTimeAndKeepsTheOrder() throws IOException {
        relay.state(LinkState.delayed(120, 60, 0), LinkState.SOUND);
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
        relay.state(LinkState.throttled(50_000), LinkState.SOUND);
        long startNs = System.nanoTime();
        passes(caller, callee, bytes(20_000)); // takes 0.4 s, less the first step
        assertTrue(
                System.nanoTime() - startNs >= TimeUnit.MILLISECONDS.toNanos(300),
                "the bytes came too early");
    }

    @Test
    void aTornLinkEndsInTheMiddle() throws IOException {
        relay.state(LinkState.SOUND, LinkState.torn(10));
        callee.getOutputStream().write(bytes(25));
        byte[] came = new byte[10];
        assertEquals(10, caller.getInputStream().readNBytes(came, 0, 10));
        ended(caller);
        ended(callee);
    }

    @Test
    void whatWaitsForASlowReaderIsBounded() throws IOException {
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
        relay.state(LinkState.delayed(50, 0, 0), LinkState.SOUND);
        assertArrayEquals(bytes, callee.getInputStream().readNBytes(bytes.length));
        assertTrue(relay.mostHeld() < 2 << 20, relay.mostHeld() + " bytes were held");
    }

    @Test
    void figuresBelowZeroAreTurnedDown() {
        assertThrows(IllegalArgumentException.class, () -> LinkState.delayed(-1, 0, 0));
    }
}
