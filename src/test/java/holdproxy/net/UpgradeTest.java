package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two proxies on one listening socket, as the old and the new process during an upgrade. */
@Timeout(60)
class UpgradeTest {
    private final Peer.Listener node = new Peer.Listener();
    private final Peer.Listener discovery = new Peer.Listener();
    private final List<EventLoop> loops = new ArrayList<>();
    private ServerSocketChannel socket;
    private Path file;
    private String entry;

    UpgradeTest() throws Exception {}

    @BeforeEach
    void listen(@TempDir Path folder) throws Exception {
        socket =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        file = folder.resolve("config.json");
        entry = "{\"id\":\"s-0\",\"addr\":\"" + node.address() + "\",\"state\":\"SERVING\"}";
        Files.writeString(file, Fixture.json(Fixture.list(1, true, entry), Fixture.SETTINGS, 1024));
        Thread discoveryThread = new Thread(this::answerDiscovery, "discovery");
        discoveryThread.setDaemon(true);
        discoveryThread.start();
    }

    /** Discovery sends the initial list to each caller. */
    private void answerDiscovery() {
        try {
            while (true) {
                Peer watch = discovery.next();
                for (String line = watch.line(); !line.isEmpty(); line = watch.line()) {
                    // skips the request
                }
                watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                Fixture.chunk(watch, Fixture.list(2, true, entry));
            }
        } catch (IOException | InterruptedException | AssertionError e) {
            // the test is over
        }
    }

    @AfterEach
    void close() throws Exception {
        for (EventLoop loop : loops) {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        socket.close();
        node.close();
        discovery.close();
    }

    private Proxy startProxy() throws Exception {
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        loops.add(loop);
        return ProxyService.start(
                Config.load(Fixture.env(file, discovery.address())), loop, socket, null, null);
    }

    private Peer client() throws Exception {
        return Peer.to((InetSocketAddress) socket.getLocalAddress());
    }

    private Peer connectedClient() throws Exception {
        Peer p = client();
        p.send("mn\r\n");
        p.expect("MN");
        return p;
    }

    @Test
    void theOldProxyAcceptsNoClientsAnswersOpenRequestsAndClosesEachConnectionAfterAnAnswer()
            throws Exception {
        Proxy old = startProxy();
        Peer waiting = connectedClient();
        Peer used = connectedClient();
        Peer idle = connectedClient();
        waiting.send(Fixture.read("a1", 4000));
        Peer served = node.next();
        served.line();
        Proxy fresh = startProxy();
        assertTrue(fresh.takesClients());
        Future<Void> end = old.drain(1000);
        loops.get(0).submit(() -> {}).sync();
        assertFalse(old.takesClients());
        for (int i = 0; i < 20; i++) {
            // served by the new proxy: the old one would close after its answer
            Peer p = connectedClient();
            p.send("mn\r\n");
            p.expect("MN");
            p.close();
        }
        used.send("mn\r\n");
        used.expect("MN");
        used.expectEnd();
        assertFalse(end.isDone());
        served.send("VA 1 Oa1\r\n1\r\n");
        waiting.expect("VA 1 Oa1", "1");
        waiting.expectEnd();
        idle.expectEnd(); // when the time for the drain is over
        for (Peer p : List.of(waiting, used, idle)) {
            p.close();
        }
        assertTrue(end.await(5000));
        assertTrue(socket.isOpen(), "closing the inherited socket would end the process's log");
        connectedClient().close();
    }

    @Test
    void anUpgradeDuringAnUpgradeLeavesTheLatestOneServing() throws Exception {
        Proxy first = startProxy();
        Proxy second = startProxy();
        Proxy third = startProxy();
        first.drain(10);
        second.drain(10);
        for (int i : new int[] {0, 1}) {
            loops.get(i).submit(() -> {}).sync();
        }
        Peer p = connectedClient();
        p.send("mn\r\n");
        p.expect("MN");
        assertTrue(third.takesClients());
    }

    @Test
    void theNewProxyAcceptsClientsOnlyOnceItHasANodeList() throws Exception {
        startProxy();
        Proxy fresh = startProxy();
        assertTrue(fresh.takesClients());
        assertTrue(
                fresh.members().firstList().isDone(), "it accepted clients before it had a list");
    }

    @Test
    void twoProcessesTogetherStayWithinTheBoundOnDescriptors() {
        for (int most : new int[] {256, 384, 512, 1024}) {
            ConnectionLimits each = ConnectionLimits.of(most, true);
            assertTrue(
                    each.clients() + ConnectionLimits.REFUSAL_RESERVE + 2 * each.nodes() + 2 * 48
                            <= most,
                    most + ": " + each);
            assertTrue(each.nodes() >= 16, most + ": " + each);
            assertNotEquals(each, ConnectionLimits.of(most, false));
            assertEquals(
                    most - 48,
                    ConnectionLimits.of(most, false).clients()
                            + ConnectionLimits.of(most, false).nodes()
                            + ConnectionLimits.REFUSAL_RESERVE);
        }
    }
}
