package holdproxy.rig;

import holdproxy.town.TownNetwork;
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
 * All relays of a rig, one for each ordered pair of those that talk, and the ports behind them. Names are the
 * town's: {@code proxy-0}, {@code s-3}, {@code discovery}, {@code clients}. On one event loop.
 */
final class Links implements AutoCloseable {
    /** Below what systems give out by themselves, so that nobody else comes by a port between two binds. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** Of all rigs in this process; those of two processes begin at different places. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(Long.hashCode(ProcessHandle.current().pid() * 7919) & 0xffffff);

    /** Who calls, and who is called. */
    record Pair(String from, String to) {}

    private final EventLoop loop;
    private final long seed;
    private final Map<Pair, Relay> relays = new LinkedHashMap<>();
    private final Map<Integer, String> callers = new HashMap<>();

    Links(EventLoop loop, long seed) {
        this.loop = loop;
        this.seed = seed;
    }

    /** A loopback address at which nobody listens. */
    InetSocketAddress free() {
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
                continue; // somebody has it
            }
        }
        throw new UncheckedIOException(
                new IOException("no port from " + FIRST_PORT + " to " + LAST_PORT + " is free"));
    }

    /** A relay from one to another that listens at {@code target}; returns where the caller finds it. */
    InetSocketAddress link(String from, String to, InetSocketAddress target) {
        Pair pair = new Pair(from, to);
        Relay relay = Relay.open(loop, free(), target, seed ^ pair.hashCode());
        relays.put(pair, relay);
        return relay.address();
    }

    /** Those whose ends match: a name, or * for all. */
    List<Relay> matching(String from, String to) {
        List<Relay> found = new ArrayList<>();
        relays.forEach(
                (pair, relay) -> {
                    if (matches(from, pair.from) && matches(to, pair.to)) {
                        found.add(relay);
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

    Relay between(String from, String to) {
        return relays.get(new Pair(from, to));
    }

    @Override
    public void close() {
        relays.values().forEach(Relay::close);
    }

    /** What a part of the town listens with: a port and a relay for each of those that may call. */
    TownNetwork part(String name, List<String> from) {
        return new Part(name, from);
    }

    private final class Part implements TownNetwork {
        private final String name;
        private final Map<String, InetSocketAddress> ports = new LinkedHashMap<>();

        Part(String name, List<String> from) {
            this.name = name;
            for (String caller : from) {
                InetSocketAddress port = free();
                ports.put(caller, port);
                callers.put(port.getPort(), caller);
                link(caller, name, port);
            }
        }

        /** {@code address} is what the town knows the part by; the ports are those of its relays. */
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
                                                        .addLast(new Flushing())
                                                        .addLast(handlers.get())
                                                        .addLast(new Resets());
                                            }
                                        })
                                .bind(each.getValue());
                all.add(last.channel());
                between(each.getKey(), name).refuse(false);
            }
            // who closes the one that is returned closes all, and calls are refused from then on
            last.channel()
                    .closeFuture()
                    .addListener(
                            f -> {
                                all.forEach(Channel::close);
                                ports.keySet()
                                        .forEach(caller -> between(caller, name).refuse(true));
                            });
            return last;
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress to, int timeoutMs, ChannelHandler... handlers) {
            return dial(loop, to, timeoutMs, handlers);
        }

        @Override
        public void endSending(Channel channel) {
            ((SocketChannel) channel).shutdownOutput();
        }

        @Override
        public String peer(Channel accepted) {
            return callers.get(((InetSocketAddress) accepted.localAddress()).getPort());
        }
    }

    /** Parts of a town write, and leave it to their network when that goes out: here at once. */
    private static final class Flushing extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ctx.writeAndFlush(message, promise);
        }
    }

    /** A connection that is reset is over, and nothing to be told of: that is what a rig is for. */
    private static final class Resets extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("holdproxy: a part of the town failed: " + cause);
            }
            ctx.close();
        }
    }

    /** An ordinary connection. */
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
                                ch.pipeline().addLast(handlers).addLast(new Resets());
                            }
                        })
                .connect(to);
    }
}
