package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Where the proxy's connections come from: sockets in service, channels in memory in rehearsal and lab. */
public interface Transport {
    /**
     * Opens a connection with these handlers, the first next to the wire. The future fails where none is up
     * within {@code timeoutMs} milliseconds; its channel is there at once.
     */
    ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers);

    /** Listens; each connection that comes gets handlers of its own. Closing the future's channel ends it. */
    ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers);

    /** Whether other processes listen on the same socket, which then stays open for them. */
    default boolean shared() {
        return false;
    }

    /**
     * Runs this once all that has come so far is read: in memory, where one message comes at a time, now.
     * {@code late}: the loop stood still, and the end of a connection may lie behind what was read from it.
     */
    default void whenRead(Runnable task, boolean late) {
        task.run();
    }

    /** Ends the sending on a connection that came, behind what was written; it can still be read from. */
    void endSending(Channel channel);
}
