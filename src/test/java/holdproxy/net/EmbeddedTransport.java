package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** In-memory connections of a proxy, each established at once. Tests connect clients themselves. */
final class EmbeddedTransport implements Transport {
    /** The port of discovery that the tests pass to {@code Fixture.env}. */
    private static final int DISCOVERY_PORT = 1;

    /** The connections to cache nodes, in the order in which they were opened. */
    final List<EmbeddedChannel> nodeConnections = new ArrayList<>();

    /** Tasks for the next iteration of the loop are kept in {@link #nextIteration} instead of run at once. */
    boolean keepsNextIteration;

    /** Also the delivery of events to the router is kept, as while sockets are still being read. */
    boolean keepsDelivery;

    /** Connections are established by the test, which registers their channels. */
    boolean keepsDials;

    /** The peers of connections whose output is shut down leave them open. */
    boolean peersStayConnected;

    final ArrayDeque<Runnable> nextIteration = new ArrayDeque<>();

    EmbeddedChannel latestNodeConnection() {
        return nodeConnections.get(nodeConnections.size() - 1);
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        EmbeddedChannel channel = new EmbeddedChannel(!keepsDials, false, handlers);
        if (address.getPort() != DISCOVERY_PORT) {
            nodeConnections.add(channel);
        }
        return keepsDials ? channel.newPromise() : channel.newSucceededFuture();
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        throw new UnsupportedOperationException("tests connect clients themselves");
    }

    @Override
    public void afterReads(Runnable task, boolean stalled) {
        if (stalled && keepsNextIteration || keepsDelivery) {
            nextIteration.add(task);
        } else {
            task.run();
        }
    }

    /** Runs the tasks that were kept for the next iteration of the loop; those that they add are kept again. */
    void runNextIteration() {
        for (int tasks = nextIteration.size(); tasks > 0; tasks--) {
            nextIteration.poll().run();
        }
    }

    @Override
    public void shutdownOutput(Channel channel) {
        if (!peersStayConnected) {
            channel.close();
        }
    }
}
