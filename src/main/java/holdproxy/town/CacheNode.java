package holdproxy.town;

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
 * sent more than {@code TIP} times what it can do within {@code TIP_US} meanwhile, it fails and stays down.
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
        final MetaLines.Message command;
        final Connection connection;
        final String id;

        /** Identifies a write and its repeats where repeats are dropped, else null. */
        final String group;

        final long ofLife = life;
        double leftUs = -kind.workUs * Math.log(1 - random.nextDouble());
        String answer;

        Job(MetaLines.Message command, Connection connection) {
            this.command = command;
            this.connection = connection;
            id = command.flag('O');
            group = command.field("c").equals("renewal") ? register.came(command.field("k")) : null;
            leftUs *= RequestClass.named(command.field("c")).work();
        }
    }

    private static final double TIP = 4;
    private static final long TIP_US = 2_000_000;

    public final String name;
    public final int zone;
    public final InetSocketAddress address;
    public final Kind kind;
    private final Timeline loop;
    private final TownNetwork process;
    private final TownRecord record;
    private final MemberRegister register;
    private final SplittableRandom random;
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Expiry time of each cached key; least recently used keys are evicted first. */
    private final Map<String, Long> memory;

    /** Work that arrived within the last {@code TIP_US}: pairs of time and amount. */
    private final ArrayDeque<double[]> lately = new ArrayDeque<>();

    private double latelyUs;
    private Channel listener;
    private long startedUs = Long.MIN_VALUE;
    private long progressUs;
    private long plan;
    private double slowness = 1;
    private boolean draining;
    private long made;
    private int life;

    /** Creates a node that is not started. */
    public CacheNode(
            String name,
            int zone,
            InetSocketAddress address,
            Kind kind,
            Timeline loop,
            TownNetwork process,
            TownRecord record,
            MemberRegister register,
            SplittableRandom random) {
        this.name = name;
        this.zone = zone;
        this.address = address;
        this.kind = kind;
        this.loop = loop;
        this.process = process;
        this.record = record;
        this.register = register;
        this.random = random;
        memory =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                        return size() > kind.keys;
                    }
                };
        register.knows(this);
    }

    /** Starts at full speed with this many of the most popular keys cached. */
    public void startWarm(int keys) {
        for (int i = Math.min(keys, kind.keys) - 1; i >= 0; i--) {
            memory.put(Clients.key(i), (long) (random.nextDouble() * kind.ttlUs));
        }
        listen(Long.MIN_VALUE, 1);
    }

    /** Starts with an empty cache and reduced speed. */
    public void startCold() {
        memory.clear();
        listen(loop.nowUs(), kind.coldFrom);
    }

    private void listen(long started, double from) {
        startedUs = started;
        draining = false;
        listener =
                process.listen(
                                address,
                                () -> new ChannelHandler[] {new MetaLines(), new Connection()})
                        .channel();
        double speed = kind.speed * kind.cores;
        record.add(
                loop.nowUs(),
                Event.Kind.UP,
                name,
                "",
                speed * from + " " + speed + " " + kind.coldUs);
    }

    /** Whether it accepts connections. */
    public boolean up() {
        return listener != null;
    }

    /** Whether {@link #drain} was called since its start. */
    public boolean drains() {
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
    public void end(String how) {
        if (listener == null) {
            return;
        }
        record.add(loop.nowUs(), Event.Kind.FAULT, name, "", how);
        listener.close();
        listener = null;
        life++;
        running.clear();
        waiting.clear();
        plan++;
        lately.clear();
        latelyUs = 0;
        List.copyOf(connections).forEach(Channel::close);
    }

    /** Makes it {@code times} slower than normal from now on. */
    public void slow(double times) {
        record.add(loop.nowUs(), Event.Kind.FAULT, name, "", "slow " + times);
        progress();
        slowness = times;
        planNext();
    }

    /** Removes a key from its cache. */
    public void drop(String key) {
        memory.remove(key);
    }

    private void arrived(Job job) {
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
                        + (long) job.leftUs);
        if (tips(job.leftUs)) {
            end("falls over");
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

    /** Adds work to that of the last {@code TIP_US}; whether this exceeds the budget of a cold node. */
    private boolean tips(double workUs) {
        if (startedUs == Long.MIN_VALUE || loop.nowUs() - startedUs >= kind.coldUs) {
            return false;
        }
        lately.add(new double[] {loop.nowUs(), workUs});
        latelyUs += workUs;
        while (lately.peek()[0] <= loop.nowUs() - TIP_US) {
            latelyUs -= lately.poll()[1];
        }
        return latelyUs > TIP * TIP_US * kind.speed * kind.cores * warm();
    }

    private double warm() {
        return startedUs == Long.MIN_VALUE
                ? 1
                : Math.min(
                        1,
                        kind.coldFrom
                                + (1 - kind.coldFrom) * (loop.nowUs() - startedUs) / kind.coldUs);
    }

    private void run(Job job) {
        progress();
        running.add(job);
        planNext();
    }

    /** Work done per microsecond on each running request. */
    private double rate() {
        return kind.speed * warm() / slowness * Math.min(1, (double) kind.cores / running.size());
    }

    private void progress() {
        double done = (loop.nowUs() - progressUs) * (running.isEmpty() ? 0 : rate());
        progressUs = loop.nowUs();
        running.forEach(j -> j.leftUs -= done);
    }

    private void planNext() {
        long number = ++plan;
        double least = Double.MAX_VALUE;
        for (Job j : running) {
            least = Math.min(least, j.leftUs);
        }
        if (!running.isEmpty()) {
            loop.after(
                    (long) Math.ceil(Math.max(0, least) / rate()),
                    () -> {
                        if (number == plan) {
                            stepped();
                        }
                    });
        }
    }

    private void stepped() {
        progress();
        List<Job> done = new ArrayList<>();
        for (Job j : running) {
            if (j.leftUs < 1) {
                done.add(j);
            }
        }
        running.removeAll(done);
        while (running.size() < kind.slots && !waiting.isEmpty()) {
            run(waiting.poll());
        }
        planNext();
        done.forEach(this::worked);
    }

    /** The node's own work on a request is done: answers from its cache or asks the origin. */
    private void worked(Job job) {
        String key = job.command.word(1);
        if (job.command.line().startsWith("ms ")) {
            register.write(
                    job.id, key, job.command.field("k"), job.group, receipt -> ran(job, receipt));
        } else if (memory.getOrDefault(key, -1L) > loop.nowUs()) {
            // the look-up also marks the key as most recently used
            ran(job, null);
        } else {
            register.fetch(
                    job.id,
                    key,
                    version -> {
                        memory.put(key, loop.nowUs() + kind.ttlUs);
                        ran(job, null);
                    });
        }
    }

    private void ran(Job job, String receipt) {
        if (job.ofLife != life) {
            return; // the node ended while the origin worked
        }
        String value = receipt != null ? receipt : name + "." + ++made;
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
    private final class Connection extends SimpleChannelInboundHandler<MetaLines.Message> {
        private final ArrayDeque<Job> line = new ArrayDeque<>();
        private Channel channel;
        private String proxy;
        private boolean fresh = true;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            proxy = process.peer(channel);
            connections.add(channel);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaLines.Message command) {
            Job job = new Job(command, this);
            line.add(job);
            if (fresh) {
                job.leftUs += kind.handshakeUs;
                fresh = false;
            }
            arrived(job);
        }

        void flushInOrder() {
            while (!line.isEmpty() && line.peek().answer != null) {
                ByteBuf bytes =
                        Unpooled.copiedBuffer(line.poll().answer, StandardCharsets.ISO_8859_1);
                channel.pipeline().write(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            waiting.removeAll(line); // commands that have not started have nobody to answer
        }
    }
}
