package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** TCP sockets, all on one event loop. */
final class Sockets implements Transport {
    private static final int BACKLOG = 512;

    /** Reads of a client's socket before the others: one peer must not delay them. */
    static final int MAX_CLIENT_READS_PER_PASS = 4;

    /** The largest read of a client's socket; a client that waits for its turn may hold as much. */
    static final int MAX_CLIENT_READ_BYTES = 16 * 1024;

    /** The same for discovery: a whole list is read before anything is sent by the one before. */
    private static final int MAX_DISCOVERY_READS_PER_PASS = 4;

    private static final int MAX_DISCOVERY_READ_BYTES = 64 * 1024;

    /** The smallest read; a peer that sends byte by byte must not cost a read for every few of them. */
    static final int MIN_READ_BYTES = 2 * 1024;

    /**
     * The size that is asked for of a connection's send buffer. What is left to the system cannot be counted,
     * and a buffer of the usual megabytes hides whether the peer takes what it is sent.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    /** What the system holds of the output then: Linux doubles the size, for what it needs itself. */
    static final int MAX_UNDELIVERED_BYTES = 2 * SEND_BUFFER_BYTES;

    /** The memory for direct buffers is small, and clients may make the proxy keep what they have sent. */
    private static final ByteBufAllocator CLIENT_BUFFERS =
            new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT);

    private final EventLoop loop;
    private final Bootstrap client;
    private final ServerSocketChannel inherited;

    /** {@code inherited}: the listening socket to accept clients on; null: one is opened when needed. */
    Sockets(EventLoop loop, ServerSocketChannel inherited) {
        this.loop = loop;
        this.inherited = inherited;
        client =
                new Bootstrap()
                        .group(loop)
                        // not channel(Class), whose reflection is costly during start-up
                        .channelFactory(NioSocketChannel::new)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        // of discovery; connections to nodes have read buffers of their own
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                reads(MAX_DISCOVERY_READ_BYTES, MAX_DISCOVERY_READS_PER_PASS));
    }

    /** Read buffers that adapt to what a peer sends, within limits that suit its kind. */
    static RecvByteBufAllocator reads(int maxBytes, int maxReadsPerPass) {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, maxBytes)
                .maxMessagesPerRead(maxReadsPerPass);
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        return client.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                ch.pipeline().addLast(handlers);
                            }
                        })
                .connect(address);
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(loop, loop)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        .childOption(ChannelOption.ALLOCATOR, CLIENT_BUFFERS)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                reads(MAX_CLIENT_READ_BYTES, MAX_CLIENT_READS_PER_PASS))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline().addLast(handlers.get());
                                    }
                                });
        if (inherited != null) {
            return server.channelFactory(() -> new NioServerSocketChannel(inherited)).register();
        }
        return server.channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind(address);
    }

    /** An inherited socket is never closed: the JDK would then discard the log. */
    @Override
    public boolean sharesListener() {
        return inherited != null;
    }

    /**
     * One pass of the event loop reads from every socket before it runs tasks; what follows the first bytes
     * on a socket, and its end, is read in the next pass.
     */
    @Override
    public void afterReads(Runnable task, boolean stalled) {
        if (stalled) {
            loop.schedule(task, 1, TimeUnit.MILLISECONDS);
        } else {
            loop.execute(task);
        }
    }

    /** Whether the last read of a connection filled its buffer, so that more may wait in the system. */
    static boolean lastReadWasFull(Channel channel) {
        RecvByteBufAllocator.Handle reads = channel.unsafe().recvBufAllocHandle();
        return reads.lastBytesRead() > 0 && reads.lastBytesRead() == reads.attemptedBytesRead();
    }

    /**
     * Has the connection reset when it is closed, so that the peer gets nothing that the system still holds.
     */
    static void resetOnClose(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // the connection has ended already
        }
    }

    @Override
    public void shutdownOutput(Channel channel) {
        ((SocketChannel) channel).shutdownOutput();
    }
}
