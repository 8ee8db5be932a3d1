package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second copy that is started for a request whose end is already queued: it had no outcome,
 * so that its node counted as busy with it for good.
 */
class QueuedEventsTest {
    private EmbeddedProxy embedded;
    private EmbeddedTransport transport;
    private Proxy proxy;
    private EmbeddedChannel client;

    @BeforeEach
    void start() throws IOException {
        embedded =
                new EmbeddedProxy(
                        4, s -> s.replace("\"secondCopies\":false", "\"secondCopies\":true"));
        transport = embedded.transport;
        proxy = embedded.proxy;
        client = embedded.client();
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
        embedded.advance(500);
        assertTrue(!transport.nextIteration.isEmpty(), "a timer has fired");
    }

    private void assertNothingIsLeft() {
        transport.keepsDelivery = false;
        transport.runNextIteration();
        assertEquals(List.of(), embedded.log.stream().filter(l -> l.startsWith("fault")).toList());
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
