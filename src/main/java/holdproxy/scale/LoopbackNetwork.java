package holdproxy.scale;

import holdproxy.emulator.SiteNetwork;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.function.Supplier;

/** TCP on one event loop, which counts bytes and accepted connections. */
final class LoopbackNetwork implements SiteNetwork {
    private static final int BACKLOG = 4096;
    private static final int LOOPBACK = 127;

    private final EventLoop loop;
    private final InetSocketAddress local;
    private long readBytes;
    private long writtenBytes;
    private int accepted;
    private int mostAccepted;

    /** {@code local}: source address of connections, or null; each address has its own ephemeral ports. */
    LoopbackNetwork(EventLoop loop, InetSocketAddress local) {
        this.loop = loop;
        this.local = local;
    }

    /** The address {@code 127.A.B.C}. */
    static InetSocketAddress address(int a, int b, int c, int port) {
        try {
            byte[] bytes = {LOOPBACK, (byte) a, (byte) b, (byte) c};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always a valid address", e);
        }
    }

    @Override
    public ChannelFuture connect(
            InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new Counter()).addLast(handlers);
                            }
                        })
                .connect(address, local);
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                mostAccepted = Math.max(mostAccepted, ++accepted);
                                channel.closeFuture().addListener(f -> accepted--);
                                channel.pipeline().addLast(new Counter()).addLast(handlers.get());
                            }
                        })
                .bind(address);
    }

    @Override
    public void shutdownOutput(Channel channel) {
        ((SocketChannel) channel).shutdownOutput();
    }

    @Override
    public String peerName(Channel channel) {
        return String.valueOf(channel.remoteAddress());
    }

    /** Bytes read; like the other counters, to be called on the event loop. */
    long readBytes() {
        return readBytes;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    /** Accepted connections that are open. */
    int accepted() {
        return accepted;
    }

    int mostAccepted() {
        return mostAccepted;
    }

    private final class Counter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            readBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            writtenBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            // the emulator's handlers rely on the network to flush
            ctx.writeAndFlush(message, promise);
        }
    }
}
