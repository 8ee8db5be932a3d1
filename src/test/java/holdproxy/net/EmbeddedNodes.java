package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Connections of a proxy in memory, each up at once; clients come by hand. */
final class EmbeddedNodes implements Transport {
    /** Where {@code Fixture.env} is told that discovery is. */
    private static final int DISCOVERY_PORT = 1;

    /** Those to cache nodes, in their order. */
    final List<EmbeddedChannel> all = new ArrayList<>();

    EmbeddedChannel latest() {
        return all.get(all.size() - 1);
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        EmbeddedChannel channel = new EmbeddedChannel(handlers);
        if (address.getPort() != DISCOVERY_PORT) {
            all.add(channel);
        }
        return channel.newSucceededFuture();
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        throw new UnsupportedOperationException("clients come by hand");
    }

    @Override
    public void endSending(Channel channel) {
        channel.close();
    }
}
