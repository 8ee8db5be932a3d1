package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens the proxy's connections: sockets in service, in-memory channels in warm-up and simulation. */
public interface Transport {
    /**
     * Opens a connection with these handlers, the first next to the network. The future fails if it is not
     * established within {@code timeoutMs} milliseconds; its channel is available at once.
     */
    ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers);

    /** Listens; each accepted connection gets new handlers. Closing the future's channel stops listening. */
    ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers);

    /** Whether the listening socket is shared with other processes, for which it then stays open. */
    default boolean sharesListener() {
        return false;
    }

    /**
     * Runs a task once all that has been received so far is read: in memory, where messages are delivered one
     * by one, that is at once. {@code stalled}: the event loop was stalled, so that the end of a connection
     * may follow what was read from it.
     */
    default void afterReads(Runnable task, boolean stalled) {
        task.run();
    }

    /** Ends the output of an accepted connection, after what was written; it can still be read from. */
    void shutdownOutput(Channel channel);
}
