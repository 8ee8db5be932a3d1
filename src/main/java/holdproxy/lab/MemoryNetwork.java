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
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
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
    static final class Host {
        /** One way, in microseconds, and what chance adds to it, exponential with this mean. */
        private final double meanDelayUs;
        private final double jitterUs;
        private final SplittableRandom random;
        /** Cut off: it says nothing, and new connections to it never come up. */
        boolean silent;
        /** With this chance a message's connection is reset. */
        double resetChance;

        private Host(double meanDelayUs, double jitterUs, SplittableRandom random) {
            this.meanDelayUs = meanDelayUs;
            this.jitterUs = jitterUs;
            this.random = random;
        }

        boolean resets() {
            return resetChance > 0 && random.nextDouble() < resetChance;
        }

        /** One of so many, by chance. */
        int pick(int of) {
            return random.nextInt(of);
        }

        long delayUs() {
            return (long) (meanDelayUs - jitterUs * Math.log(1 - random.nextDouble()));
        }
    }

    /** The network as one process has it: those that it connects to see its name. */
    final class Process implements Transport {
        private final String name;
        private final VirtualLoop loop;
        private final Set<Channel> open = new LinkedHashSet<>();
        private boolean over;

        private Process(String name, VirtualLoop loop) {
            this.name = name;
            this.loop = loop;
        }

        @Override
        public ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            Channel ch = new Bootstrap().group(loop).channelFactory(LocalChannel::new)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(handlers);
                    }
                }).register().channel();
            ChannelPromise connected = ch.newPromise();
            if (over) {
                ch.close();
                return connected; // never up: nobody is left to be told
            }
            counted(ch);
            Host host = hosts.get(address);
            // a round trip of the network, then at once
            loop.after(host == null ? 0 : 2 * host.delayUs(), () -> {
                if (ch.isOpen() && (host == null || !host.silent)) {
                    LocalAddress own = new LocalAddress(town + "/" + name + "#" + ++connections);
                    ch.connect(place(address), own).addListener(f -> {
                        if (f.isSuccess()) {
                            connected.trySuccess();
                        } else {
                            connected.tryFailure(f.cause());
                        }
                    });
                }
            });
            ScheduledFuture<?> timeout = loop.schedule(() -> {
                if (connected.tryFailure(new ConnectTimeoutException("no answer from " + address))) {
                    ch.close();
                }
            }, timeoutMs, TimeUnit.MILLISECONDS);
            connected.addListener(f -> timeout.cancel(false));
            return connected;
        }

        @Override
        public ChannelFuture listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            Host host = hosts.get(address);
            ChannelFuture bound = new ServerBootstrap().group(loop, loop)
                .channelFactory(LocalServerChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        counted(ch);
                        ch.pipeline().addLast(new Link(loop, host)).addLast(handlers.get());
                    }
                })
                .bind(place(address));
            counted(bound.channel());
            return bound;
        }

        /** Both ways at once: nobody in the town says anything on a connection that ends against it. */
        @Override
        public void endSending(Channel channel) {
            channel.close();
        }

        /** It is gone: what it had open ends at once, unsaid what it had still to say. On its own loop. */
        void die() {
            over = true;
            List.copyOf(open).forEach(ch -> ch.unsafe().close(ch.voidPromise()));
        }

        private void counted(Channel ch) {
            open.add(ch);
            ch.closeFuture().addListener(f -> open.remove(ch));
        }
    }

    private static final AtomicLong TOWNS = new AtomicLong();

    private final long town = TOWNS.incrementAndGet();
    private final Map<InetSocketAddress, Host> hosts = new HashMap<>();
    private final List<Process> processes = new ArrayList<>();
    private long connections;

    /** Puts an address on the map; connecting to any other one is refused. */
    Host host(InetSocketAddress address, double meanDelayUs, double jitterUs, SplittableRandom random) {
        Host host = new Host(meanDelayUs, jitterUs, random);
        hosts.put(address, host);
        return host;
    }

    Process process(String name, VirtualLoop loop) {
        Process process = new Process(name, loop);
        processes.add(process);
        return process;
    }

    /** Every process is over. */
    void close() {
        processes.forEach(Process::die);
    }

    /** Who opened a connection that was accepted here. */
    static String peer(Channel accepted) {
        String place = accepted.remoteAddress().toString();
        return place.substring(place.indexOf('/') + 1, place.lastIndexOf('#'));
    }

    private LocalAddress place(InetSocketAddress address) {
        return new LocalAddress(town + "/" + address); // several towns may run in one JVM
    }
}
