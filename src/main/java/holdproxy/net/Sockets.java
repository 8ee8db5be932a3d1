package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** TCP, all of it on one event loop. */
final class Sockets implements Transport {
    private static final int BACKLOG = 512;

    private final EventLoop loop;
    private final Bootstrap client;

    Sockets(EventLoop loop) {
        this.loop = loop;
        client = new Bootstrap().group(loop)
            .channelFactory(NioSocketChannel::new) // by reflection, a start would pay for it again and again
            .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        return client.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(handlers);
                }
            }).connect(address);
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(handlers.get());
                }
            })
            .bind(address);
    }

    @Override
    public void endSending(Channel channel) {
        ((SocketChannel) channel).shutdownOutput();
    }
}
