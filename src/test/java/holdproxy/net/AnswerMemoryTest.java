package holdproxy.net;

import static holdproxy.net.WarmUp.bytes;
import static holdproxy.net.WarmUp.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is kept in memory of nodes' answers. */
class AnswerMemoryTest {
    private static final int VALUE_BYTES = 64 * 1024;

    /** Keeps the answers that a node's connection receives. */
    private static final class Answers extends ChannelInboundHandlerAdapter {
        private final List<NodeResponse> received = new ArrayList<>();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            received.add((NodeResponse) message);
            ctx.fireChannelRead(message);
        }
    }

    /**
     * Guards against hundreds of answers of one pass over the sockets that stay in memory, beside their copies
     * for the clients, until the router hears of them.
     */
    @Test
    void aValueIsNotKeptUntilTheRouterHearsOfIt() throws Exception {
        EmbeddedProxy embedded = new EmbeddedProxy(1);
        EmbeddedChannel client = embedded.client();
        client.writeInbound(bytes(Fixture.read("a1", 4000)));
        EmbeddedChannel node = embedded.transport.latestNodeConnection();
        Answers answers = new Answers();
        node.pipeline().addAfter(node.pipeline().firstContext().name(), "answers", answers);
        embedded.transport.keepsDelivery = true;
        node.writeInbound(
                bytes("VA " + VALUE_BYTES + " Oa1\r\n" + "v".repeat(VALUE_BYTES) + "\r\n"));
        assertTrue(text(client).startsWith("VA " + VALUE_BYTES + " Oa1\r\nv"));
        assertEquals(1, answers.received.size());
        assertTrue(answers.received.get(0).value == null, "the value is kept");
        assertEquals(1, embedded.transport.nextIteration.size(), "the router has not heard of it");
    }
}
