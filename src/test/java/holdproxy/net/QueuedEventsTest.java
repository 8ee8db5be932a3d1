package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.policy.Router;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a second copy that is started for a request whose end is already queued: it had no outcome,
 * so that its node counted as busy with it for good.
 */
class QueuedEventsTest {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final EmbeddedChannel timers = EmbeddedChannel.builder().ticker(ticker).build();
    private final EmbeddedTransport transport = new EmbeddedTransport();
    private final List<String> log = new ArrayList<>();
    private Proxy proxy;
    private EmbeddedChannel client;

    @BeforeEach
    void start(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Fixture.json(
                        Fixture.list(1, true),
                        Fixture.SETTINGS.replace("\"secondCopies\":false", "\"secondCopies\":true"),
                        1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        Clock time = new Clock(ticker, () -> 0);
        proxy = new Proxy(config, timers.eventLoop(), time, transport, new Log(time, log::add));
        List<Discovery.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Router.Node node = new Router.Node();
            node.id = i + 1;
            entries.add(new Discovery.Entry(node, "s-" + i, config.listen));
        }
        proxy.nodes(Router.ListKind.CACHED, entries);
        client = new EmbeddedChannel(proxy.handlers());
        for (int i = 0; i < 60; i++) { // earn the budget for a second copy
            client.writeInbound(bytes(Fixture.read("e" + i, 900)));
            answer("e" + i);
        }
        text(client);
    }

    private void answer(String id) {
        for (EmbeddedChannel node : List.copyOf(transport.nodeConnections)) {
            if (text(node).contains("O" + id + " ")) {
                node.writeInbound(bytes("VA 1 O" + id + "\r\n1\r\n"));
            }
        }
    }

    /** Queues the timer of a second copy for a request that is out, without delivering it. */
    private void queueSecondCopyOf(String id) {
        client.writeInbound(bytes(Fixture.read(id, 4000)));
        transport.keepsDelivery = true;
        ticker.advance(500, TimeUnit.MILLISECONDS);
        timers.runScheduledPendingTasks();
        assertTrue(!transport.nextIteration.isEmpty(), "a timer has fired");
    }

    private void assertNothingIsLeft() {
        transport.keepsDelivery = false;
        transport.runNextIteration();
        assertEquals(List.of(), log.stream().filter(l -> l.startsWith("fault")).toList());
        assertEquals(0, proxy.openRequests());
        assertEquals(0, proxy.figures().active.get());
    }

    @Test
    void aSecondCopyQueuedBeforeTheAnswerHasAnOutcome() {
        queueSecondCopyOf("a1");
        answer("a1");
        assertEquals("VA 1 Oa1\r\n1\r\n", text(client));
        assertNothingIsLeft();
    }

    @Test
    void aSecondCopyQueuedBeforeItsClientLeavesHasAnOutcome() {
        queueSecondCopyOf("a1");
        client.close();
        client.runPendingTasks();
        assertNothingIsLeft();
    }
}
