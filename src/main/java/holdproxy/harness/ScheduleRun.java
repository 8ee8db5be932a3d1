package holdproxy.harness;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.CacheNode;
import holdproxy.emulator.Clients;
import holdproxy.emulator.DiscoveryService;
import holdproxy.emulator.Event;
import holdproxy.emulator.LoadBalancer;
import holdproxy.emulator.Origin;
import holdproxy.emulator.ProxyConfig;
import holdproxy.emulator.ServiceStatistics;
import holdproxy.emulator.SiteRecord;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Plays a schedule with real proxies. Each proxy is a process of the built program; clients, cache nodes and
 * discovery are emulated on real sockets, with a {@link Link} between any two endpoints that communicate. All
 * events go into one record. Everything but the proxy processes runs on one event loop.
 */
final class ScheduleRun implements AutoCloseable {
    private static final long DISCOVERY_CALL_US = 30_000;

    /** Delay until discovery lists a started node. */
    private static final double LISTING_DELAY_S = 1.5;

    /** Time for the last request, retries included, to finish. */
    private static final double LAST_REQUESTS_S = 12;

    /** Limit of a start, or an exit after SIGTERM: a second or two, longer on a busy machine. */
    private static final long PROCESS_TIMEOUT_S = 120;

    /** Interval of the checks for expected events. */
    private static final long CHECK_INTERVAL_MS = 100;

    private static final int MAX_SEEDS = 3;
    private static final int REGISTER_SLOTS = 40;
    private static final long REGISTER_US = 60_000;
    private static final int KEYS_KEPT = 4000;
    private static final double COLD_FROM = 0.2;
    private static final double COLD_S = 20;
    private static final double QUOTA_SHARE = 0.83;
    private static final String CLIENTS = "clients";
    private static final String DISCOVERY = "discovery";
    private static final String LISTENING = "listening on ";

    private final Schedule schedule;
    private final Path folder;
    private final ChildReaper keeper;
    private final Function<String[], List<String>> program;
    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final LoopTimeline time = new LoopTimeline(loop);
    private final PrintWriter history;
    private final SiteRecord record;
    private final Links links;
    private final LoadBalancer front = new LoadBalancer();
    private final List<CacheNode> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, String> nodeNames = new HashMap<>();
    private final List<ServeProcess> proxies = new ArrayList<>();

    /** The address at which each daemon listens for the others. */
    private final List<InetSocketAddress> peerAddresses = new ArrayList<>();

    /** Why each ending process was made to end; an exit without an entry is a crash. */
    private final Map<ServeProcess, String> endReasons = new HashMap<>();

    private final Map<ServeProcess, CompletableFuture<Void>> ready = new HashMap<>();
    private final Map<ServeProcess, CompletableFuture<Void>> exited = new HashMap<>();
    private final List<String> crashes = new ArrayList<>();
    private DiscoveryService discovery;
    private Clients clients;

    /** Null if nothing is published. */
    private DistributionSetup distribution;

    private boolean closing;

    /** When all processes listened and the schedule began. */
    private long startUs;

    /**
     * {@code program} makes the command line that starts holdproxy with the given arguments; {@code folder}
     * is for configurations, logs and the history.
     */
    ScheduleRun(
            Schedule schedule,
            Path folder,
            ChildReaper keeper,
            Function<String[], List<String>> program)
            throws IOException {
        this.schedule = schedule;
        this.folder = Files.createDirectories(folder);
        this.keeper = keeper;
        this.program = program;
        history = new PrintWriter(Files.newBufferedWriter(folder.resolve("history.txt")));
        record = new SiteRecord(history::println);
        links = new Links(loop, schedule.seed());
    }

    /** The result of a schedule; {@code late}: broken timing rules, which do not fail it. */
    record Outcome(
            ServiceStatistics service,
            List<Auditors.Violation> broken,
            List<Auditors.Violation> late) {}

    /** Plays the schedule to its end and checks the rules. */
    Outcome play() throws InterruptedException, ExecutionException, TimeoutException {
        loop.submit(this::build).get();
        for (ServeProcess p : proxies) {
            ready.get(p).get(PROCESS_TIMEOUT_S, TimeUnit.SECONDS);
        }
        CompletableFuture<Void> finished = new CompletableFuture<>();
        loop.execute(
                () -> {
                    startUs = time.nowUs();
                    schedule.faults().forEach(f -> after(f.atS(), () -> inject(f)));
                    schedule.publications()
                            .forEach(p -> after(p.atS(), () -> distribution.publish(p)));
                    if (!schedule.fleet().quiet()) {
                        clients.start(time.nowUs() + (long) (schedule.seconds() * 1e6));
                    }
                    after(
                            schedule.seconds() + (schedule.fleet().quiet() ? 0 : LAST_REQUESTS_S),
                            () -> finished.complete(null));
                });
        finished.get();
        List<ExpectedEvent> unmet = unmet();
        List<Auditors.Violation> unpublished =
                distribution == null ? List.of() : distribution.awaitCommands();
        loop.submit(this::terminateAll).get();
        for (ServeProcess p : proxies) {
            exited.get(p).get(PROCESS_TIMEOUT_S, TimeUnit.SECONDS);
        }
        return loop.submit(() -> checkRules(unmet, unpublished)).get();
    }

    /** Awaits the events that the schedule expects; returns those that did not occur in time. */
    private List<ExpectedEvent> unmet() throws InterruptedException, ExecutionException {
        List<ExpectedEvent> unmet = new ArrayList<>(schedule.expected());
        long fromUs = time.nowUs();
        while (true) {
            loop.submit(
                            () -> {
                                List<String> running =
                                        proxies.stream()
                                                .filter(ServeProcess::isRunning)
                                                .map(p -> p.name)
                                                .toList();
                                unmet.removeIf(e -> e.isMet(running, record.events(), startUs));
                            })
                    .get();
            if (unmet.stream().allMatch(e -> time.nowUs() - fromUs > e.withinS() * 1e6)) {
                return unmet;
            }
            Thread.sleep(CHECK_INTERVAL_MS);
        }
    }

    private Outcome checkRules(List<ExpectedEvent> unmet, List<Auditors.Violation> unpublished) {
        history.flush();
        List<Event> events = record.events();
        List<Auditors.Violation> broken = Auditors.untimedViolations(events);
        broken.addAll(LeaseAuditor.broken(events));
        broken.addAll(ConfigurationAuditor.broken(events));
        broken.addAll(unpublished);
        crashes.forEach(c -> broken.add(new Auditors.Violation("no crash", c)));
        unmet.forEach(
                e ->
                        broken.add(
                                new Auditors.Violation(
                                        "progress",
                                        "expected event of "
                                                + e.by()
                                                + " did not occur: "
                                                + e.text())));
        List<Auditors.Violation> late = new ArrayList<>(Auditors.violations(events));
        late.removeAll(broken);
        return new Outcome(new ServiceStatistics(events), broken, late);
    }

    private void after(double seconds, Runnable task) {
        time.schedule((long) (seconds * 1e6), task);
    }

    private static SplittableRandom random(long seed, String part, int number) {
        return new SplittableRandom(seed * 0x9e3779b97f4a7c15L + part.hashCode() * 31L + number);
    }

    // ---- setup ----

    private void build() {
        List<String> names =
                IntStream.range(0, schedule.proxies()).mapToObj(i -> "proxy-" + i).toList();
        discovery =
                new DiscoveryService(
                        time,
                        record,
                        DISCOVERY_CALL_US,
                        proxy -> false,
                        (proxy, node) -> links.get(proxy, nodeNames.get(node)).address());
        discovery.start(links.networkFor(DISCOVERY, names), placeholderAddress(1, 0));
        Origin register =
                new Origin(time, record, REGISTER_SLOTS, REGISTER_US, ProxyConfig.REPEAT_WINDOW_US);
        double workUs = schedule.load().workMs() * 1000;
        CacheNode.Kind kind =
                new CacheNode.Kind(
                        "std-1c",
                        1,
                        1,
                        4,
                        20,
                        workUs,
                        COLD_FROM,
                        (long) (COLD_S * 1e6),
                        KEYS_KEPT,
                        30_000_000,
                        700,
                        2_500);
        for (int i = 0; i < schedule.nodes(); i++) {
            InetSocketAddress address = placeholderAddress(2, i);
            String name = "s-" + i;
            nodeNames.put(address, name);
            CacheNode node =
                    new CacheNode(
                            name,
                            0,
                            address,
                            kind,
                            time,
                            links.networkFor(name, names),
                            record,
                            register,
                            random(schedule.seed(), "node", i));
            nodes.add(node);
            node.startWarm(schedule.load().keys());
            setListed(node, "SERVING");
        }
        if (schedule.fleet().drills() > 0) {
            new GuardedResource(time, record, links.networkFor(GuardedResource.NAME, names), true)
                    .start(placeholderAddress(3, 0));
        }
        clients =
                new Clients(
                        time,
                        List.of(links.networkFor(CLIENTS, List.of())),
                        record,
                        random(schedule.seed(), CLIENTS, 0),
                        schedule.load(),
                        ProxyConfig.clubNames(schedule.load().clubs().size()),
                        front,
                        schedule.proxies());
        clients.countReadWhenWritten();
        for (int i = 0; i < schedule.proxies(); i++) {
            peerAddresses.add(links.freeAddress());
        }
        if (schedule.fleet().relays() > 0) {
            distribution =
                    new DistributionSetup(schedule, folder, links, keeper, program, time, record);
        }
        for (int i = 0; i < schedule.proxies(); i++) {
            proxies.add(createProxy(i, names.get(i)));
        }
        createConsensusGroup();
        proxies.forEach(this::start);
    }

    /** Initializes the disk of each voter with the command that operators use. */
    private void createConsensusGroup() {
        List<Process> commands = new ArrayList<>();
        try {
            for (int i = 0; i < schedule.fleet().voters(); i++) {
                String file = folder.resolve("proxy-" + i + ".toml").toString();
                Process each =
                        new ProcessBuilder(program.apply(new String[] {"daemon", "found", file}))
                                .redirectErrorStream(true)
                                .redirectOutput(folder.resolve("found-" + i + ".log").toFile())
                                .start();
                keeper.register(each.toHandle());
                commands.add(each);
            }
            for (Process each : commands) {
                if (each.waitFor() != 0) {
                    throw new IllegalStateException(
                            "the consensus group cannot be created: see found-*.log in " + folder);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the consensus group cannot be created", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A made-up address that identifies an emulated endpoint; nothing listens there. */
    private static InetSocketAddress placeholderAddress(int net, int host) {
        try {
            byte[] bytes = {10, (byte) net, (byte) (host >> 8), (byte) host};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), 1);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a 4-byte address cannot be invalid", e);
        }
    }

    private void setListed(CacheNode node, String state) {
        long agoMs = (time.nowUs() - node.startedUs()) / 1000;
        discovery.setState(
                node.name,
                node.address,
                "room-north",
                node.kind.name(),
                state,
                node.startedUs() == 0 ? 0 : System.currentTimeMillis() - agoMs);
    }

    private ServeProcess createProxy(int i, String name) {
        InetSocketAddress listenAddress = links.freeAddress();
        front.addProxy(links.open(CLIENTS, name, listenAddress), 0);
        ProxyConfig config =
                new ProxyConfig(
                        i,
                        schedule.proxies(),
                        0,
                        List.of("room-north"),
                        COLD_FROM,
                        COLD_S,
                        schedule.load().clubs(),
                        schedule.nodes() / schedule.load().workMs() * 1000 * QUOTA_SHARE);
        String platforms =
                config.json(
                        name,
                        random(schedule.seed(), "proxy", i).nextLong(),
                        discovery.fullList(name),
                        ProxyConfig.MAX_ATTEMPTS);
        String discoveryAt = DiscoveryService.formatAddress(links.get(name, DISCOVERY).address());
        Path file = folder.resolve(name + (schedule.daemons() ? ".toml" : ".json"));
        try {
            Files.writeString(
                    file,
                    !schedule.daemons()
                            ? platforms
                            : DaemonFormat.configuration(
                                            name,
                                            DiscoveryService.formatAddress(listenAddress),
                                            discoveryAt,
                                            folder.resolve(name),
                                            peerSettings(i),
                                            platforms)
                                    + (distribution == null ? "" : distribution.configSection(i)));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "the configuration of " + name + " cannot be written", e);
        }
        Map<String, String> env =
                schedule.daemons()
                        ? Map.of()
                        : Map.of(
                                "LB_NAME",
                                name,
                                "LB_LISTEN",
                                DiscoveryService.formatAddress(listenAddress),
                                "LB_DISCOVERY",
                                discoveryAt,
                                "LB_CONFIG",
                                file.toString());
        List<String> command =
                program.apply(
                        schedule.daemons()
                                ? new String[] {"daemon", "--config", file.toString()}
                                : new String[] {"serve"});
        return new ServeProcess(name, command, env, folder.resolve(name + ".log"), keeper, loop);
    }

    /** A daemon's settings for its peers, with a link to each of them. */
    private DaemonFormat.PeerSettings peerSettings(int i) {
        Map<String, String> routes = new LinkedHashMap<>();
        for (int other = 0; other < schedule.proxies(); other++) {
            if (other != i) {
                String name = "proxy-" + other;
                routes.put(
                        name,
                        DiscoveryService.formatAddress(
                                links.open("proxy-" + i, name, peerAddresses.get(other))));
            }
        }
        List<String> seeds = routes.values().stream().limit(MAX_SEEDS).toList();
        String resource =
                schedule.fleet().drills() == 0
                        ? ""
                        : DiscoveryService.formatAddress(
                                links.get("proxy-" + i, GuardedResource.NAME).address());
        return new DaemonFormat.PeerSettings(
                DiscoveryService.formatAddress(peerAddresses.get(i)),
                seeds,
                routes,
                IntStream.range(0, schedule.fleet().voters()).mapToObj(v -> "proxy-" + v).toList(),
                schedule.fleet().drills(),
                schedule.fleet().leaseMs(),
                resource);
    }

    // ---- processes ----

    private void start(ServeProcess p) {
        if (p.isRunning() || closing) {
            return;
        }
        ready.put(p, new CompletableFuture<>());
        exited.put(p, new CompletableFuture<>());
        endReasons.remove(p);
        p.start(
                line -> {
                    DaemonFormat.parseEvent(line)
                            .ifPresent(
                                    said ->
                                            record.add(
                                                    time.nowUs(),
                                                    Event.Kind.SAID,
                                                    p.name,
                                                    said.clockUs(),
                                                    said.text()));
                    if (line.contains(LISTENING) && !ready.get(p).isDone()) {
                        recordFault(p, "started");
                        front.setInUse(proxies.indexOf(p), true);
                        ready.get(p).complete(null);
                    }
                },
                code -> onExit(p, code));
    }

    private void onExit(ServeProcess p, int code) {
        String by = endReasons.remove(p);
        if (!"killed".equals(by)) {
            recordFault(p, by == null ? "ended by itself with " + code : by);
        }
        if (by == null || by.equals("ended") && code != 0) {
            crashes.add(
                    p.name
                            + " exited "
                            + (by == null ? "unexpectedly" : "after SIGTERM")
                            + " with code "
                            + code);
        }
        if (by == null || !by.equals("killed")) {
            front.setInUse(proxies.indexOf(p), false);
        }
        ready.get(p).complete(null); // ends the wait for its start; the exit is recorded above
        exited.get(p).complete(null);
    }

    private void recordFault(ServeProcess p, String what) {
        record.add(time.nowUs(), Event.Kind.FAULT, p.name, "", what);
    }

    /** Terminates every process, once. */
    private void terminateAll() {
        closing = true;
        for (ServeProcess p : proxies) {
            p.resume();
            terminate(p, () -> {});
        }
    }

    /**
     * Sends SIGTERM once the process listens: before that it has no handler, and the signal would kill it.
     * {@code onSignal} runs after the signal, unless the process was already ending.
     */
    private void terminate(ServeProcess p, Runnable onSignal) {
        if (!p.isRunning()) {
            return;
        }
        ready.get(p)
                .thenRun(
                        () -> {
                            if (p.isRunning() && endReasons.putIfAbsent(p, "ended") == null) {
                                p.terminate();
                                onSignal.run();
                            }
                        });
    }

    // ---- faults ----

    private void inject(RigFault f) {
        switch (f.kind()) {
            case KILL, LOSE -> kill(f);
            case HOLD -> suspend(f);
            case RESTART -> restart(f);
            case CRASH -> crash(f);
            default -> injectLinkFault(f);
        }
    }

    private void kill(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        if (!p.isRunning()) {
            return;
        }
        endReasons.put(p, "killed");
        recordFault(p, "killed"); // recorded now, as the exit is noticed a moment later
        p.kill();
        CompletableFuture<Void> exit = exited.get(p);
        after(
                f.noticedS(),
                () -> {
                    if (!p.isRunning()) {
                        front.setInUse(f.target(), false);
                    }
                });
        if (f.forS() > 0) {
            after(
                    f.forS(),
                    () ->
                            exit.thenRun(
                                    () -> {
                                        if (f.kind() == RigFault.Kind.LOSE) {
                                            deleteData(p);
                                        }
                                        start(p);
                                    }));
        }
    }

    /** Deletes the process's data folder. */
    private void deleteData(ServeProcess p) {
        recordFault(p, "lost its disk");
        try (Stream<Path> files = Files.walk(folder.resolve(p.name))) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException("the folder of " + p.name + " cannot be emptied", e);
        }
    }

    private void suspend(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        if (p.isRunning()) {
            recordFault(p, "held " + (long) (f.forS() * 1e6));
            p.suspend();
            if (f.forS() > 0) {
                after(f.forS(), p::resume);
            }
        }
    }

    private void restart(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        terminate(
                p,
                () -> {
                    recordFault(p, "told to end");
                    front.setInUse(f.target(), false);
                    exited.get(p).thenRun(() -> after(f.forS(), () -> start(p)));
                });
    }

    private void crash(RigFault f) {
        CacheNode node = nodes.get(f.target());
        node.stop("crash");
        after(
                f.noticedS(),
                () -> {
                    if (!node.isUp()) {
                        setListed(node, "DELETED");
                    }
                });
        if (f.forS() > 0) {
            after(
                    f.forS(),
                    () -> {
                        if (!node.isUp()) {
                            node.startCold();
                            after(LISTING_DELAY_S, () -> setListed(node, "SERVING"));
                        }
                    });
        }
    }

    private void injectLinkFault(RigFault f) {
        List<Link> affected = links.matching(f.from(), f.to());
        record.add(
                time.nowUs(),
                Event.Kind.FAULT,
                f.from() + ">" + f.to(),
                "",
                f.kind().configName() + " " + f.there() + " " + f.back());
        switch (f.kind()) {
            case REFUSE -> affected.forEach(r -> r.refuse(true));
            case RESET -> affected.forEach(Link::reset);
            default -> affected.forEach(r -> r.state(f.there(), f.back()));
        }
        if (f.forS() > 0 && f.kind() != RigFault.Kind.RESET) {
            after(
                    f.forS(),
                    () -> {
                        record.add(
                                time.nowUs(),
                                Event.Kind.FAULT,
                                f.from() + ">" + f.to(),
                                "",
                                "sound");
                        affected.forEach(
                                r -> {
                                    if (f.kind() == RigFault.Kind.REFUSE) {
                                        r.refuse(false);
                                    } else {
                                        r.state(LinkState.HEALTHY, LinkState.HEALTHY);
                                    }
                                });
                    });
        }
    }

    /** Kills the processes that still run, and closes everything that was opened. */
    @Override
    public void close() {
        try {
            loop.submit(
                            () -> {
                                closing = true;
                                if (distribution != null) {
                                    distribution.close();
                                }
                                proxies.forEach(ServeProcess::kill);
                                links.close();
                                history.close();
                            })
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the rig cannot be closed", e.getCause());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
