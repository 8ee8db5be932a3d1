package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LoopLagTest {
    private static final long MS = 1000;

    private final MockTicker ticker = Ticker.newMockTicker();
    private final EmbeddedChannel timers = EmbeddedChannel.builder().ticker(ticker).build();
    private Proxy proxy;
    private EmbeddedChannel client;
    private final EmbeddedTransport transport = new EmbeddedTransport();

    @BeforeEach
    void start(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        Clock time = new Clock(ticker, () -> 0);
        proxy = new Proxy(config, timers.eventLoop(), time, transport, new Log(time));
        proxy.nodes(
                Router.ListKind.CACHED,
                List.of(new Discovery.Entry(new Router.Node(), "node", config.listen)));
        client = new EmbeddedChannel(proxy.handlers());
    }

    @Test
    void aLoopOnTimeHasNoLag() {
        LoopLag lateness = new LoopLag(0);
        for (long now = 20 * MS; now <= 200 * MS; now += 20 * MS) {
            lateness.ticked(now);
        }
        assertEquals(0, lateness.recentUs(219 * MS));
        assertEquals(0, lateness.totalUs(219 * MS));
    }

    @Test
    void aStallIsSeenBeforeItsTickRunsAndCountedOnceAfter() {
        LoopLag lateness = new LoopLag(0);
        assertEquals(300 * MS, lateness.recentUs(320 * MS));
        assertEquals(300 * MS, lateness.totalUs(320 * MS));
        lateness.ticked(320 * MS);
        assertEquals(
                300 * MS,
                lateness.recentUs(321 * MS),
                "input read right after the tick has waited as long");
        assertEquals(0, lateness.recentUs(330 * MS));
        assertEquals(300 * MS, lateness.totalUs(330 * MS));
        lateness.ticked(340 * MS);
        assertEquals(400 * MS, lateness.totalUs(460 * MS), "a second stall adds to it");
    }

    /** A proxy short of processor time, as right after a restart, in front of nodes that answer at once. */
    @Test
    void answersUnreadDuringAStallAreNotTakenForOverload() {
        int refused = 0;
        for (int i = 0; i < 300; i++) {
            client.writeInbound(bytes(Fixture.read("r" + i, 5000)));
            // the target is 750 ms: every third answer is read too late, the others in time
            ticker.advance(i % 3 == 0 ? 800 : 400, TimeUnit.MILLISECONDS);
            refused += refusedOrAnswered("r" + i);
            proxy.tick(); // timers run after input
        }
        assertEquals(0, refused);
    }

    /** After a stall, due timers end requests although no node was slow. */
    @Test
    void timeOutsDuringAStallDoNotCountAgainstTheNode() {
        sendUnansweredRequests(40, 800, 1);
        assertEquals(0, refusedOf(100));
    }

    @Test
    void timeOutsOfALoopOnTimeCountAgainstTheNode() {
        sendUnansweredRequests(40, 20, 40);
        int refused = refusedOf(100);
        assertTrue(refused > 50, refused + " of 100 refused");
    }

    /**
     * Sends requests in turn that the node never answers; the loop runs {@code runs} times until each is
     * due.
     */
    private void sendUnansweredRequests(int requests, int runEveryMs, int runs) {
        for (int i = 0; i < requests; i++) {
            client.writeInbound(bytes(Fixture.read("t" + i, 800)));
            for (int run = 0; run < runs; run++) {
                ticker.advance(runEveryMs, TimeUnit.MILLISECONDS);
                timers.runScheduledPendingTasks();
                proxy.tick();
            }
            assertTrue(
                    text(client).startsWith("SERVER_ERROR busy"), "neither timed out nor refused");
        }
    }

    private int refusedOf(int requests) {
        int refused = 0;
        for (int i = 0; i < requests; i++) {
            client.writeInbound(bytes(Fixture.read("r" + i, 800)));
            refused += refusedOrAnswered("r" + i);
        }
        return refused;
    }

    /** Returns 1 if the request was refused at once; otherwise the node answers it. */
    private int refusedOrAnswered(String id) {
        String refusal = text(client);
        if (refusal.isEmpty()) {
            transport.latestNodeConnection().writeInbound(bytes("VA 5 O" + id + "\r\nhello\r\n"));
            assertTrue(text(client).startsWith("VA 5 O" + id));
        }
        return refusal.isEmpty() ? 0 : 1;
    }
}
