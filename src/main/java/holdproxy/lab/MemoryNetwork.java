package holdproxy.lab;

import holdproxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Connections in memory between the hosts of a town, with the delays and silences of a network. */
final class MemoryNetwork {
    /** One address and the way to it. */
    final class Host {
        /** One way, in microseconds, and what chance adds to it, exponential with this mean. */
        private final double meanDelayUs;
        private final double jitterUs;
        private final SplittableRandom random;
        /** Cut off: it says nothing, and new connections to it never come up. */
        boolean silent;

        private Host(double meanDelayUs, double jitterUs, SplittableRandom random) {
            this.meanDelayUs = meanDelayUs;
            this.jitterUs = jitterUs;
            this.random = random;
        }

        long delayUs() {
            return (long) (meanDelayUs - jitterUs * Math.log(1 - random.nextDouble()));
        }
    }

    private static final AtomicLong TOWNS = new AtomicLong();

    private final long town = TOWNS.incrementAndGet();
    private final VirtualLoop loop;
    private long connections;
    private final Set<Channel> open = new LinkedHashSet<>();
    private final Map<InetSocketAddress, Host> hosts = new HashMap<>();

    MemoryNetwork(VirtualLoop loop) {
        this.loop = loop;
    }

    /** Puts an address on the map; connecting to any other one is refused. */
    Host host(InetSocketAddress address, double meanDelayUs, double jitterUs, SplittableRandom random) {
        Host host = new Host(meanDelayUs, jitterUs, random);
        hosts.put(address, host);
        return host;
    }

    /** The network as this host has it: those that it connects to see its name. */
    Transport of(String who) {
        return new Transport() {
            @Override
            public ChannelFuture connect(InetSocketAddress address, int timeoutMs,
                    ChannelHandler... handlers) {
                return MemoryNetwork.this.connect(who, address, timeoutMs, handlers);
            }

            @Override
            public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
                return MemoryNetwork.this.listen(address, handlers);
            }
        };
    }

    /** Who opened a connection that was accepted here. */
    static String peer(Channel accepted) {
        String place = accepted.remoteAddress().toString();
        return place.substring(place.indexOf('/') + 1, place.lastIndexOf('#'));
    }

    /** Closes all that is open. */
    void close() {
        List.copyOf(open).forEach(Channel::close);
    }

    private void counted(Channel ch) {
        open.add(ch);
        ch.closeFuture().addListener(f -> open.remove(ch));
    }

    private ChannelFuture connect(String who, InetSocketAddress address, int timeoutMs,
            ChannelHandler... handlers) {
        Channel ch = new Bootstrap().group(loop).channelFactory(LocalChannel::new)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(handlers);
                }
            }).register().channel();
        counted(ch);
        ChannelPromise connected = ch.newPromise();
        Host host = hosts.get(address);
        // a round trip of the network, then at once
        loop.after(host == null ? 0 : 2 * host.delayUs(), () -> {
            if (ch.isOpen() && (host == null || !host.silent)) {
                LocalAddress own = new LocalAddress(town + "/" + who + "#" + ++connections);
                ch.connect(place(address), own).addListener(f -> {
                    if (f.isSuccess()) {
                        connected.trySuccess();
                    } else {
                        connected.tryFailure(f.cause());
                    }
                });
            }
        });
        loop.schedule(() -> {
            if (connected.tryFailure(new ConnectTimeoutException("no answer from " + address))) {
                ch.close();
            }
        }, timeoutMs, TimeUnit.MILLISECONDS);
        return connected;
    }

    ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        Host host = hosts.get(address);
        ChannelFuture bound = new ServerBootstrap().group(loop, loop).channelFactory(LocalServerChannel::new)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new Link(loop, host)).addLast(handlers.get());
                }
            })
            .bind(place(address));
        counted(bound.channel());
        return bound;
    }

    private LocalAddress place(InetSocketAddress address) {
        return new LocalAddress(town + "/" + address); // several towns may run in one JVM
    }
}
