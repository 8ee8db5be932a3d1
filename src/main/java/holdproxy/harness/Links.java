package holdproxy.harness;

import holdproxy.emulator.SiteNetwork;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * All links of a rig, one for each ordered pair of endpoints that communicate, and the ports behind them.
 * Endpoints are named as in the history: {@code proxy-0}, {@code s-3}, {@code discovery}, {@code clients}.
 * Everything runs on one event loop.
 */
final class Links implements AutoCloseable {
    /** The ports are below the usual ephemeral range, so that none is taken between two binds. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** Shared by all rigs of this process; the pid spreads the first ports of different processes. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(Long.hashCode(ProcessHandle.current().pid() * 7919) & 0xffffff);

    /** Names of the calling and of the called endpoint. */
    record Endpoints(String from, String to) {}

    private final EventLoop loop;
    private final long seed;
    private final Map<Endpoints, Link> links = new LinkedHashMap<>();
    private final Map<Integer, String> callers = new HashMap<>();

    Links(EventLoop loop, long seed) {
        this.loop = loop;
        this.seed = seed;
    }

    /** A loopback address with a free port. */
    InetSocketAddress freeAddress() {
        for (int tries = 0; tries < LAST_PORT - FIRST_PORT; tries++) {
            int port =
                    FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), LAST_PORT - FIRST_PORT);
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            try (ServerSocket probe = new ServerSocket()) {
                probe.setReuseAddress(true);
                probe.bind(address);
                return address;
            } catch (IOException e) {
                continue; // the port is in use
            }
        }
        throw new UncheckedIOException(
                new IOException("no port from " + FIRST_PORT + " to " + LAST_PORT + " is free"));
    }

    /** Opens a link to an endpoint that listens at {@code target}; returns the address for the caller. */
    InetSocketAddress open(String from, String to, InetSocketAddress target) {
        Endpoints endpoints = new Endpoints(from, to);
        Link link = Link.open(loop, freeAddress(), target, seed ^ endpoints.hashCode());
        links.put(endpoints, link);
        return link.address();
    }

    /** The links whose endpoints match; a pattern is a name, a prefix with *, or * for all. */
    List<Link> matching(String from, String to) {
        List<Link> found = new ArrayList<>();
        links.forEach(
                (endpoints, link) -> {
                    if (matches(from, endpoints.from) && matches(to, endpoints.to)) {
                        found.add(link);
                    }
                });
        return found;
    }

    static boolean matches(String pattern, String name) {
        return pattern.equals("*")
                || pattern.equals(name)
                || pattern.endsWith("*")
                        && name.startsWith(pattern.substring(0, pattern.length() - 1));
    }

    Link get(String from, String to) {
        return links.get(new Endpoints(from, to));
    }

    @Override
    public void close() {
        links.values().forEach(Link::close);
    }

    /** The network of a modelled endpoint: a port and a link for each of its possible callers. */
    SiteNetwork networkFor(String name, List<String> from) {
        return new EndpointNetwork(name, from);
    }

    private final class EndpointNetwork implements SiteNetwork {
        private final String name;
        private final Map<String, InetSocketAddress> ports = new LinkedHashMap<>();

        EndpointNetwork(String name, List<String> from) {
            this.name = name;
            for (String caller : from) {
                InetSocketAddress port = freeAddress();
                ports.put(caller, port);
                callers.put(port.getPort(), caller);
                open(caller, name, port);
            }
        }

        /** Binds the ports behind the links; {@code address} is only the endpoint's name in the model. */
        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            List<Channel> all = new ArrayList<>();
            ChannelFuture last = null;
            for (Map.Entry<String, InetSocketAddress> each : ports.entrySet()) {
                last =
                        new ServerBootstrap()
                                .group(loop, loop)
                                .channel(NioServerSocketChannel.class)
                                .option(ChannelOption.SO_REUSEADDR, true)
                                .childOption(ChannelOption.TCP_NODELAY, true)
                                .childHandler(
                                        new ChannelInitializer<SocketChannel>() {
                                            @Override
                                            protected void initChannel(SocketChannel ch) {
                                                ch.pipeline()
                                                        .addLast(new FlushingHandler())
                                                        .addLast(handlers.get())
                                                        .addLast(new ErrorHandler());
                                            }
                                        })
                                .bind(each.getValue());
                all.add(last.channel());
                get(each.getKey(), name).refuse(false);
            }
            // closing the returned channel closes all of them; the links then refuse connections
            last.channel()
                    .closeFuture()
                    .addListener(
                            f -> {
                                all.forEach(Channel::close);
                                ports.keySet().forEach(caller -> get(caller, name).refuse(true));
                            });
            return last;
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress to, int timeoutMs, ChannelHandler... handlers) {
            return dial(loop, to, timeoutMs, handlers);
        }

        @Override
        public void shutdownOutput(Channel channel) {
            ((SocketChannel) channel).shutdownOutput();
        }

        @Override
        public String peerName(Channel accepted) {
            return callers.get(((InetSocketAddress) accepted.localAddress()).getPort());
        }
    }

    /** Flushes each write at once: the model's endpoints write without flushing. */
    private static final class FlushingHandler extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ctx.writeAndFlush(message, promise);
        }
    }

    /** Closes a connection after an error. I/O errors are not reported: the rig causes them on purpose. */
    private static final class ErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("holdproxy: an endpoint of the test harness failed: " + cause);
            }
            ctx.close();
        }
    }

    /** Connects directly, without a link. */
    private static ChannelFuture dial(
            EventLoop loop, InetSocketAddress to, int timeoutMs, ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline().addLast(handlers).addLast(new ErrorHandler());
                            }
                        })
                .connect(to);
    }
}
