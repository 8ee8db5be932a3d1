package holdproxy.emulator;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * An emulated cache node. Running requests share its cores evenly: each of n gets min(1, cores / n) of a
 * core. Up to {@code slots} run, {@code queue} more wait, and any further request is answered busy. A node
 * that starts cold has {@code coldFrom} of its speed and reaches full speed over {@code coldUs}; if it is
 * sent more than {@code OVERLOAD_MULTIPLE} times what it can do within {@code OVERLOAD_WINDOW_US} meanwhile,
 * it fails and stays down.
 */
public final class CacheNode {
    /**
     * Hardware and limits of a node.
     *
     * @param name as in the settings
     * @param cores number of cores
     * @param speed of a core; 1 is a standard core
     * @param slots most requests that run at once
     * @param queue most requests that wait
     * @param workUs mean work of a request on a standard core, in microseconds; exponentially distributed and
     *     scaled by class
     * @param coldFrom part of its speed right after its start
     * @param coldUs time from its start to full speed
     * @param keys most keys that it caches
     * @param ttlUs how long it caches a key
     * @param connections most connections; with more open it answers busy
     * @param handshakeUs work of a new connection on a standard core, added to its first request
     */
    public record Kind(
            String name,
            int cores,
            double speed,
            int slots,
            int queue,
            double workUs,
            double coldFrom,
            long coldUs,
            int keys,
            long ttlUs,
            int connections,
            double handshakeUs) {}

    /** A command and the connection on which it is answered. */
    private final class Job {
        final MetaProtocolDecoder.Message command;
        final Connection connection;
        final String id;

        /** Identifies a write and its repeats where repeats are dropped, else null. */
        final String group;

        final long nodeIncarnation = incarnation;
        double remainingUs = -kind.workUs * Math.log(1 - random.nextDouble());
        String answer;

        Job(MetaProtocolDecoder.Message command, Connection connection) {
            this.command = command;
            this.connection = connection;
            id = command.flag('O');
            group =
                    command.field("c").equals("renewal")
                            ? origin.groupOnArrival(command.field("k"))
                            : null;
            remainingUs *= RequestClass.named(command.field("c")).relativeWork();
        }
    }

    private static final double OVERLOAD_MULTIPLE = 4;
    private static final long OVERLOAD_WINDOW_US = 2_000_000;

    public final String name;
    public final int zone;
    public final InetSocketAddress address;
    public final Kind kind;
    private final Scheduler loop;
    private final SiteNetwork network;
    private final SiteRecord record;
    private final Origin origin;
    private final SplittableRandom random;
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Expiry time of each cached key; least recently used keys are evicted first. */
    private final Map<String, Long> cache;

    /** Work that arrived within the last {@code OVERLOAD_WINDOW_US}: pairs of time and amount. */
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();

    private double recentWorkUs;
    private Channel listener;
    private long startedUs = Long.MIN_VALUE;
    private long advancedUs;
    private long stepNumber;
    private double slowdown = 1;
    private boolean draining;
    private long valuesMade;
    private int incarnation;

    /** Creates a node that is not started. */
    public CacheNode(
            String name,
            int zone,
            InetSocketAddress address,
            Kind kind,
            Scheduler loop,
            SiteNetwork network,
            SiteRecord record,
            Origin origin,
            SplittableRandom random) {
        this.name = name;
        this.zone = zone;
        this.address = address;
        this.kind = kind;
        this.loop = loop;
        this.network = network;
        this.record = record;
        this.origin = origin;
        this.random = random;
        cache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                        return size() > kind.keys;
                    }
                };
        origin.addNode(this);
    }

    /** Starts at full speed with this many of the most popular keys cached. */
    public void startWarm(int keys) {
        for (int i = Math.min(keys, kind.keys) - 1; i >= 0; i--) {
            cache.put(Clients.key(i), (long) (random.nextDouble() * kind.ttlUs));
        }
        listen(Long.MIN_VALUE, 1);
    }

    /** Starts with an empty cache and reduced speed. */
    public void startCold() {
        cache.clear();
        listen(loop.nowUs(), kind.coldFrom);
    }

    private void listen(long started, double speedFactor) {
        startedUs = started;
        draining = false;
        listener =
                network.listen(
                                address,
                                () ->
                                        new ChannelHandler[] {
                                            new MetaProtocolDecoder(), new Connection()
                                        })
                        .channel();
        double speed = kind.speed * kind.cores;
        record.add(
                loop.nowUs(),
                Event.Kind.UP,
                name,
                "",
                speed * speedFactor + " " + speed + " " + kind.coldUs);
    }

    /** Whether it accepts connections. */
    public boolean isUp() {
        return listener != null;
    }

    /** Whether {@link #drain} was called since its start. */
    public boolean isDraining() {
        return draining;
    }

    /** Start time in microseconds of the site's clock; 0 if it started warm. */
    public long startedUs() {
        return Math.max(0, startedUs);
    }

    /** Finishes the requests it has and answers new ones busy. */
    public void drain() {
        draining = true;
        record.add(loop.nowUs(), Event.Kind.FAULT, name, "", "drain");
    }

    /** Ends the process: closes its connections and drops its requests; {@code how} goes into the record. */
    public void stop(String how) {
        if (listener == null) {
            return;
        }
        record.add(loop.nowUs(), Event.Kind.FAULT, name, "", how);
        listener.close();
        listener = null;
        incarnation++;
        running.clear();
        waiting.clear();
        stepNumber++;
        recentWork.clear();
        recentWorkUs = 0;
        List.copyOf(connections).forEach(Channel::close);
    }

    /** Makes it {@code times} slower than normal from now on. */
    public void setSlowdown(double factor) {
        record.add(loop.nowUs(), Event.Kind.FAULT, name, "", "slow " + factor);
        advance();
        slowdown = factor;
        scheduleStep();
    }

    /** Removes a key from its cache. */
    public void invalidate(String key) {
        cache.remove(key);
    }

    private void accept(Job job) {
        String writeKey = job.command.field("k");
        record.add(
                loop.nowUs(),
                Event.Kind.ARRIVED,
                name,
                job.id,
                (writeKey.isEmpty() ? "-" : writeKey)
                        + " "
                        + job.connection.proxy
                        + " "
                        + (long) job.remainingUs);
        if (exceedsColdBudget(job.remainingUs)) {
            stop("falls over");
        } else if (draining
                || connections.size() > kind.connections
                || running.size() == kind.slots && waiting.size() == kind.queue) {
            finish(job, "SERVER_ERROR busy\r\n");
        } else if (running.size() == kind.slots) {
            waiting.add(job);
        } else {
            run(job);
        }
    }

    /** Adds work to the recent work; whether this exceeds the budget of a cold node. */
    private boolean exceedsColdBudget(double workUs) {
        if (startedUs == Long.MIN_VALUE || loop.nowUs() - startedUs >= kind.coldUs) {
            return false;
        }
        recentWork.add(new double[] {loop.nowUs(), workUs});
        recentWorkUs += workUs;
        while (recentWork.peek()[0] <= loop.nowUs() - OVERLOAD_WINDOW_US) {
            recentWorkUs -= recentWork.poll()[1];
        }
        return recentWorkUs
                > OVERLOAD_MULTIPLE * OVERLOAD_WINDOW_US * kind.speed * kind.cores * speedFactor();
    }

    private double speedFactor() {
        return startedUs == Long.MIN_VALUE
                ? 1
                : Math.min(
                        1,
                        kind.coldFrom
                                + (1 - kind.coldFrom) * (loop.nowUs() - startedUs) / kind.coldUs);
    }

    private void run(Job job) {
        advance();
        running.add(job);
        scheduleStep();
    }

    /** Work done per microsecond on each running request. */
    private double workPerUs() {
        return kind.speed
                * speedFactor()
                / slowdown
                * Math.min(1, (double) kind.cores / running.size());
    }

    private void advance() {
        double done = (loop.nowUs() - advancedUs) * (running.isEmpty() ? 0 : workPerUs());
        advancedUs = loop.nowUs();
        running.forEach(j -> j.remainingUs -= done);
    }

    private void scheduleStep() {
        long number = ++stepNumber;
        double least = Double.MAX_VALUE;
        for (Job j : running) {
            least = Math.min(least, j.remainingUs);
        }
        if (!running.isEmpty()) {
            loop.schedule(
                    (long) Math.ceil(Math.max(0, least) / workPerUs()),
                    () -> {
                        if (number == stepNumber) {
                            step();
                        }
                    });
        }
    }

    private void step() {
        advance();
        List<Job> done = new ArrayList<>();
        for (Job j : running) {
            if (j.remainingUs < 1) {
                done.add(j);
            }
        }
        running.removeAll(done);
        while (running.size() < kind.slots && !waiting.isEmpty()) {
            run(waiting.poll());
        }
        scheduleStep();
        done.forEach(this::answerOrAskOrigin);
    }

    /** The node's own work on a request is done: answers from its cache or asks the origin. */
    private void answerOrAskOrigin(Job job) {
        String key = job.command.word(1);
        if (job.command.line().startsWith("ms ")) {
            origin.write(
                    job.id,
                    key,
                    job.command.field("k"),
                    job.group,
                    receipt -> complete(job, receipt));
        } else if (cache.getOrDefault(key, -1L) > loop.nowUs()) {
            // the look-up also marks the key as most recently used
            complete(job, null);
        } else {
            origin.fetch(
                    job.id,
                    key,
                    version -> {
                        cache.put(key, loop.nowUs() + kind.ttlUs);
                        complete(job, null);
                    });
        }
    }

    private void complete(Job job, String receipt) {
        if (job.nodeIncarnation != incarnation) {
            return; // the node ended while the origin worked
        }
        String value = receipt != null ? receipt : name + "." + ++valuesMade;
        record.add(loop.nowUs(), Event.Kind.RAN, name, job.id, value);
        finish(
                job,
                receipt != null
                        ? "HD O" + job.id + " c" + value + "\r\n"
                        : "VA " + value.length() + " O" + job.id + "\r\n" + value + "\r\n");
    }

    private void finish(Job job, String answer) {
        job.answer = answer;
        job.connection.flushInOrder();
    }

    /** A connection of a proxy: commands start on arrival and are answered in order of arrival. */
    private final class Connection
            extends SimpleChannelInboundHandler<MetaProtocolDecoder.Message> {
        private final ArrayDeque<Job> pending = new ArrayDeque<>();
        private Channel channel;
        private String proxy;
        private boolean beforeFirstCommand = true;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            proxy = network.peerName(channel);
            connections.add(channel);
        }

        @Override
        protected void channelRead0(
                ChannelHandlerContext ctx, MetaProtocolDecoder.Message command) {
            Job job = new Job(command, this);
            pending.add(job);
            if (beforeFirstCommand) {
                job.remainingUs += kind.handshakeUs;
                beforeFirstCommand = false;
            }
            accept(job);
        }

        void flushInOrder() {
            while (!pending.isEmpty() && pending.peek().answer != null) {
                ByteBuf bytes =
                        Unpooled.copiedBuffer(pending.poll().answer, StandardCharsets.ISO_8859_1);
                channel.pipeline().write(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            waiting.removeAll(pending); // commands that have not started have nobody to answer
        }
    }
}
