package holdproxy.simulation;

import holdproxy.console.Figures;
import holdproxy.emulator.Event;
import holdproxy.emulator.LoadBalancer;
import holdproxy.emulator.ProxyConfig;
import holdproxy.emulator.RequestClass;
import holdproxy.emulator.SiteRecord;
import holdproxy.net.Clock;
import holdproxy.net.Config;
import holdproxy.net.Proxy;
import holdproxy.net.Transport;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;

/**
 * A proxy's process in a simulated site. Each start runs on an event loop of its own, so that the process
 * can be paused, be sent SIGTERM, or die at any moment, and restart with nothing but its configuration.
 */
final class ProxyProcess {
    /** How long the platform lets a process shut down after SIGTERM: the longest deadline plus 0.7 s. */
    private static final long KILLED_AFTER_US = 3_700_000;

    /** New connections still arrive for this long after SIGTERM. */
    private static final long FRONT_DELAY_US = 300_000;

    final String name;
    final int zone;
    private final int frontIndex;
    private final VirtualTime time;
    private final VirtualLoop world;
    private final InMemoryNetwork network;
    private final SiteRecord record;
    private final LoadBalancer front;
    private final IntFunction<Config> config;
    private final IntFunction<Config> retuned;

    /** Nodes left out by operators; kept across restarts, as in a directory of the platform. */
    private final Set<String> leftOut = new TreeSet<>();

    private int attempts = ProxyConfig.MAX_ATTEMPTS;
    private final UnaryOperator<Transport> planted;
    private final Consumer<String> log;
    private final Function<VirtualTime, Clock> clock;
    private VirtualLoop loop;
    private InMemoryNetwork.Process process;
    private Proxy proxy;
    private int life;

    /**
     * {@code frontIndex}: its index at the front; {@code config}: the configuration read at each start, for a
     * number of attempts; {@code retuned}: the configuration for a reload; {@code planted} is inserted
     * between the proxy and its network.
     */
    ProxyProcess(
            String name,
            int zone,
            int frontIndex,
            VirtualTime time,
            VirtualLoop world,
            InMemoryNetwork network,
            SiteRecord record,
            LoadBalancer front,
            IntFunction<Config> config,
            IntFunction<Config> retuned,
            Function<VirtualTime, Clock> clock,
            UnaryOperator<Transport> planted,
            Consumer<String> log) {
        this.name = name;
        this.zone = zone;
        this.frontIndex = frontIndex;
        this.time = time;
        this.world = world;
        this.network = network;
        this.record = record;
        this.front = front;
        this.config = config;
        this.retuned = retuned;
        this.clock = clock;
        this.planted = planted;
        this.log = log;
    }

    /** Number of open requests; 0 while it does not run. */
    int open() {
        return proxy == null ? 0 : proxy.openRequests();
    }

    boolean isRunning() {
        return loop != null;
    }

    void start() {
        if (isRunning()) {
            return;
        }
        life++;
        loop = time.loop(false);
        process = network.process(name, loop, zone);
        Transport transport = planted.apply(process);
        loop.execute(
                () -> {
                    proxy =
                            Proxy.start(
                                    config.apply(attempts),
                                    loop,
                                    clock.apply(time),
                                    transport,
                                    line -> log.accept(time.nowUs() + " " + name + " " + line));
                    record.add(time.nowUs(), Event.Kind.FAULT, name, "", "started");
                    record.add(
                            time.nowUs(), Event.Kind.RETUNED, name, "", Integer.toString(attempts));
                    leftOut.forEach(node -> leaveOut(proxy, node, true));
                    world.execute(() -> front.setInUse(frontIndex, true));
                });
    }

    /** Operators' command to leave a node out, or to use it again. */
    void leaveOut(String node, boolean out) {
        if (out) {
            leftOut.add(node);
        } else {
            leftOut.remove(node);
        }
        if (isRunning() && proxy != null) {
            Proxy target = proxy;
            loop.execute(() -> leaveOut(target, node, out));
        }
    }

    private void leaveOut(Proxy target, String node, boolean out) {
        target.leaveOut(node, out);
        record.add(time.nowUs(), Event.Kind.OUT, name, node, out ? "out" : "back");
    }

    /** SIGHUP, with settings that allow this many attempts. */
    void reload(int to) {
        attempts = to;
        if (isRunning() && proxy != null) {
            Proxy target = proxy;
            loop.execute(
                    () -> {
                        target.applyConfig(retuned.apply(to));
                        record.add(
                                time.nowUs(), Event.Kind.RETUNED, name, "", Integer.toString(to));
                    });
        }
    }

    /** Records the metrics that it exposes to operators at this moment. */
    void recordMetrics() {
        if (!isRunning() || proxy == null) {
            return;
        }
        Figures f = proxy.figures();
        long ok = 0;
        long shed = 0;
        long errors = 0;
        for (RequestClass c : RequestClass.ALL) {
            Figures.Outcomes o = f.forClass(c.name());
            ok += o.ok.get();
            shed += o.shed.get();
            errors += o.errors.get();
        }
        record.add(
                time.nowUs(),
                Event.Kind.FIGURES,
                name,
                "",
                ok + " " + shed + " " + errors + " " + f.tries.get() + " " + f.active.get());
    }

    /** SIGTERM; it is started again this many microseconds after its end. */
    void restart(long downUs) {
        if (!isRunning() || proxy == null) {
            return;
        }
        record.add(time.nowUs(), Event.Kind.FAULT, name, "", "told to end");
        int ending = life;
        loop.execute(
                () ->
                        proxy.drain()
                                .addListener(f -> world.execute(() -> shutDown(ending, downUs))));
        world.schedule(
                FRONT_DELAY_US,
                () -> {
                    if (life == ending) {
                        front.setInUse(frontIndex, false);
                    }
                });
        world.schedule(KILLED_AFTER_US, () -> shutDown(ending, downUs));
    }

    private void shutDown(int ending, long downUs) {
        if (life == ending && isRunning()) {
            over("ended");
            front.setInUse(frontIndex, false);
            world.schedule(downUs, this::start);
        }
    }

    /**
     * The process dies; the front keeps forwarding to it for a time, and it is restarted after another.
     */
    void kill(long noticedUs, long downUs) {
        if (!isRunning()) {
            return;
        }
        over("killed");
        int killed = life;
        world.schedule(
                noticedUs,
                () -> {
                    if (life == killed) {
                        front.setInUse(frontIndex, false);
                    }
                });
        world.schedule(
                downUs,
                () -> {
                    if (life == killed) {
                        start();
                    }
                });
    }

    private void over(String how) {
        record.add(time.nowUs(), Event.Kind.FAULT, name, "", how);
        loop.end(process::terminate);
        loop = null;
        proxy = null;
    }

    /** Sets whether the front forwards to it, regardless of its state. */
    void setForwarding(boolean up) {
        front.setInUse(frontIndex, up && isRunning());
    }

    /** Pauses the process for this long. */
    void pause(long us) {
        if (isRunning()) {
            record.add(time.nowUs(), Event.Kind.FAULT, name, "", "held " + us);
            loop.pause(us);
        }
    }

    /** Ends the process at the end of the run, without recording it. */
    void close() {
        if (isRunning()) {
            loop.end(process::terminate);
            loop = null;
        }
    }
}
