package holdproxy.simulation;

import holdproxy.emulator.SiteNetwork;
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

/** In-memory connections between the simulated hosts, with the delays and outages of a network. */
final class InMemoryNetwork {
    /** An address and the network path to it. */
    static final class Host {
        private final String name;

        /**
         * One-way delay in microseconds, and the mean of an exponentially distributed random
         * addition.
         */
        private final double meanDelayUs;

        private final double jitterUs;
        private final SplittableRandom random;
        private final int zone;

        /** Partitioned: the host sends nothing, and new connections to it are never established. */
        boolean partitioned;

        /** The probability that a message's connection is reset. */
        double resetChance;

        private Host(
                String name,
                double meanDelayUs,
                double jitterUs,
                SplittableRandom random,
                int zone) {
            this.name = name;
            this.zone = zone;
            this.meanDelayUs = meanDelayUs;
            this.jitterUs = jitterUs;
            this.random = random;
        }

        boolean drawsReset() {
            return resetChance > 0 && random.nextDouble() < resetChance;
        }

        /** A random number from 0 to {@code of} - 1. */
        int randomBelow(int of) {
            return random.nextInt(of);
        }

        long delayUs() {
            return (long) (meanDelayUs - jitterUs * Math.log(1 - random.nextDouble()));
        }
    }

    /**
     * The path between a connecting process and the host it connected to, in their current state.
     */
    final class NetworkPath {
        private final Process opener;
        private final Host host;

        private NetworkPath(Process opener, Host host) {
            this.opener = opener;
            this.host = host;
        }

        /** Whether nothing gets to or from the host; neither end is notified. */
        boolean unreachable(boolean toHost) {
            return host.partitioned
                    || zones.silent(host.zone)
                    || !opener.people && zones.silent(opener.zone)
                    || (toHost
                            ? zones.cut(opener.zone, host.zone)
                            : zones.cut(host.zone, opener.zone));
        }

        /** The delay of a message, in microseconds. */
        long delayUs(boolean toHost) {
            long own = host.delayUs();
            return own
                    + (toHost
                            ? zones.addedUs(opener.zone, host.zone, own)
                            : zones.addedUs(host.zone, opener.zone, own));
        }

        /**
         * Records that something was lost or delayed by the simulation: from outside into a silent
         * zone, or elsewhere.
         */
        void recordLoss(boolean toHost, String what) {
            boolean silence = toHost && zones.silent(host.zone) && !zones.silent(opener.zone);
            lossListener.lost(
                    opener.name,
                    opener.people,
                    host.name,
                    silence ? host.zone : ZoneNetwork.NOWHERE,
                    what);
        }

        /** Both directions of a new connection; the host's own delay is the same each way. */
        private long roundTripUs() {
            long own = host.delayUs();
            return 2 * own
                    + zones.addedUs(opener.zone, host.zone, own)
                    + zones.addedUs(host.zone, opener.zone, own);
        }

        private boolean isReachable() {
            boolean gone = unreachable(true) || unreachable(false);
            if (gone && !host.partitioned) {
                recordLoss(true, "dial");
            }
            return !gone;
        }

        boolean impaired() {
            return zones.isAffectedByFault(opener.zone, host.zone);
        }

        boolean fromClient() {
            return opener.people;
        }
    }

    /** Notified of what the state of zones has kept from its destination. */
    interface LossListener {
        /**
         * {@code zone}: the silent zone that it was sent to from outside, or {@link ZoneNetwork#NOWHERE}.
         */
        void lost(String from, boolean byClient, String to, int zone, String what);
    }

    /** The network as seen by one process; hosts it connects to see its name. */
    final class Process implements SiteNetwork {
        private final String name;
        private final VirtualLoop loop;
        private final int zone;

        /** The network of clients: a silent zone does not stop clients, who go elsewhere. */
        private final boolean people;

        private final Set<Channel> open = new LinkedHashSet<>();
        private boolean over;

        private Process(String name, VirtualLoop loop, int zone, boolean people) {
            this.zone = zone;
            this.people = people;
            this.name = name;
            this.loop = loop;
        }

        @Override
        public ChannelFuture connect(
                InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
            Channel ch =
                    new Bootstrap()
                            .group(loop)
                            .channelFactory(LocalChannel::new)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline().addLast(handlers);
                                        }
                                    })
                            .register()
                            .channel();
            ChannelPromise connected = ch.newPromise();
            if (over) {
                ch.close();
                return connected; // never established: nobody is left to be notified
            }
            track(ch);
            Host host = hosts.get(address);
            NetworkPath way = host == null ? null : new NetworkPath(this, host);
            // one network round trip, then at once
            loop.schedule(
                    host == null ? 0 : way.roundTripUs(),
                    () -> {
                        if (ch.isOpen() && (host == null || way.isReachable())) {
                            LocalAddress own =
                                    new LocalAddress(networkId + "/" + name + "#" + ++connections);
                            ch.connect(localAddress(address), own)
                                    .addListener(
                                            f -> {
                                                if (f.isSuccess()) {
                                                    connected.trySuccess();
                                                } else {
                                                    connected.tryFailure(f.cause());
                                                }
                                            });
                        }
                    });
            ScheduledFuture<?> timeout =
                    loop.schedule(
                            () -> {
                                if (connected.tryFailure(
                                        new ConnectTimeoutException("no answer from " + address))) {
                                    ch.close();
                                }
                            },
                            timeoutMs,
                            TimeUnit.MILLISECONDS);
            connected.addListener(f -> timeout.cancel(false));
            return connected;
        }

        @Override
        public ChannelFuture listen(
                InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
            Host host = hosts.get(address);
            ChannelFuture bound =
                    new ServerBootstrap()
                            .group(loop, loop)
                            .channelFactory(LocalServerChannel::new)
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel ch) {
                                            track(ch);
                                            ch.pipeline()
                                                    .addLast(
                                                            new SimulatedConnection(
                                                                    loop,
                                                                    host,
                                                                    peer ->
                                                                            new NetworkPath(
                                                                                    byName.get(
                                                                                            peer),
                                                                                    host)))
                                                    .addLast(handlers.get());
                                        }
                                    })
                            .bind(localAddress(address));
            track(bound.channel());
            return bound;
        }

        /** Closes both directions at once: nothing is sent on a connection that its peer is closing. */
        @Override
        public void shutdownOutput(Channel channel) {
            channel.close();
        }

        @Override
        public String peerName(Channel accepted) {
            return InMemoryNetwork.peer(accepted);
        }

        /**
         * The process is gone: its connections end at once, and unsent data is lost. Runs on its
         * own loop.
         */
        void terminate() {
            over = true;
            List.copyOf(open).forEach(ch -> ch.unsafe().close(ch.voidPromise()));
        }

        private void track(Channel ch) {
            open.add(ch);
            ch.closeFuture().addListener(f -> open.remove(ch));
        }
    }

    private static final AtomicLong NETWORK_IDS = new AtomicLong();

    private final long networkId = NETWORK_IDS.incrementAndGet();
    private final Map<InetSocketAddress, Host> hosts = new HashMap<>();
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, Process> byName = new HashMap<>();
    private final ZoneNetwork zones;
    private final LossListener lossListener;
    private long connections;

    InMemoryNetwork(ZoneNetwork zones, LossListener lossListener) {
        this.zones = zones;
        this.lossListener = lossListener;
    }

    /** Registers an address; connections to unregistered ones are refused. */
    Host host(
            String name,
            InetSocketAddress address,
            double meanDelayUs,
            double jitterUs,
            SplittableRandom random,
            int zone) {
        Host host = new Host(name, meanDelayUs, jitterUs, random, zone);
        hosts.put(address, host);
        return host;
    }

    Process process(String name, VirtualLoop loop, int zone) {
        return process(new Process(name, loop, zone, false));
    }

    /** The network of clients in a zone. */
    Process clients(String name, VirtualLoop loop, int zone) {
        return process(new Process(name, loop, zone, true));
    }

    private Process process(Process process) {
        processes.add(process);
        byName.put(process.name, process);
        return process;
    }

    /** Whether a process is in a zone that is silent now. */
    boolean inPartitionedZone(String process) {
        return byName.containsKey(process) && zones.silent(byName.get(process).zone);
    }

    /** Ends every process. */
    void close() {
        processes.forEach(Process::terminate);
    }

    /** The name of the process that opened a connection accepted here. */
    static String peer(Channel accepted) {
        String place = accepted.remoteAddress().toString();
        return place.substring(place.indexOf('/') + 1, place.lastIndexOf('#'));
    }

    private LocalAddress localAddress(InetSocketAddress address) {
        // several simulations may run in one JVM
        return new LocalAddress(networkId + "/" + address);
    }
}
