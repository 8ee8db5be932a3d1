package holdproxy.rig;

import holdproxy.town.Auditors;
import holdproxy.town.CacheNode;
import holdproxy.town.Clients;
import holdproxy.town.DiscoveryService;
import holdproxy.town.Event;
import holdproxy.town.Front;
import holdproxy.town.MemberRegister;
import holdproxy.town.ProxyConfig;
import holdproxy.town.Service;
import holdproxy.town.TownRecord;
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
 * discovery are emulated on real sockets, with a relay between any two endpoints that communicate. All events
 * go into one record. Everything but the proxy processes runs on one event loop.
 */
final class RigTown implements AutoCloseable {
    private static final long CALL_US = 30_000;

    /** Delay until discovery lists a started node. */
    private static final double ADDED_S = 1.5;

    /** Time for the last request, retries included, to finish. */
    private static final double LAST_TRIES_S = 12;

    /** Limit of a start, or an exit after SIGTERM: a second or two, longer on a busy machine. */
    private static final long PATIENCE_S = 120;

    /** Interval of the checks for expected events. */
    private static final long LOOK_MS = 100;

    private static final int MOST_SEEDS = 3;
    private static final int REGISTER_SLOTS = 40;
    private static final long REGISTER_US = 60_000;
    private static final int KEYS_KEPT = 4000;
    private static final double COLD_FROM = 0.2;
    private static final double COLD_S = 20;
    private static final double QUOTA_PART = 0.83;
    private static final String CLIENTS = "clients";
    private static final String DISCOVERY = "discovery";
    private static final String LISTENING = "listening on ";

    private final Schedule schedule;
    private final Path folder;
    private final Keeper keeper;
    private final Function<String[], List<String>> program;
    private final EventLoop loop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final LoopTimeline time = new LoopTimeline(loop);
    private final PrintWriter history;
    private final TownRecord record;
    private final Links links;
    private final Front front = new Front();
    private final List<CacheNode> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, String> nodeAt = new HashMap<>();
    private final List<ServeProcess> proxies = new ArrayList<>();

    /** The address at which each daemon listens for the others. */
    private final List<InetSocketAddress> meets = new ArrayList<>();

    /** Why each ending process was made to end; an exit without an entry is a crash. */
    private final Map<ServeProcess, String> endsBy = new HashMap<>();

    private final Map<ServeProcess, CompletableFuture<Void>> ready = new HashMap<>();
    private final Map<ServeProcess, CompletableFuture<Void>> over = new HashMap<>();
    private final List<String> crashes = new ArrayList<>();
    private DiscoveryService discovery;
    private Clients clients;

    /** Null if nothing is published. */
    private DistributionRig distribution;

    private boolean ending;

    /** When all processes listened and the schedule began. */
    private long startUs;

    /**
     * {@code program} makes the command line that starts holdproxy with the given arguments; {@code folder}
     * is for configurations, logs and the history.
     */
    RigTown(Schedule schedule, Path folder, Keeper keeper, Function<String[], List<String>> program)
            throws IOException {
        this.schedule = schedule;
        this.folder = Files.createDirectories(folder);
        this.keeper = keeper;
        this.program = program;
        history = new PrintWriter(Files.newBufferedWriter(folder.resolve("history.txt")));
        record = new TownRecord(history::println);
        links = new Links(loop, schedule.seed());
    }

    /** The result of a schedule; {@code late}: broken timing rules, which do not fail it. */
    record Outcome(Service service, List<Auditors.Broken> broken, List<Auditors.Broken> late) {}

    /** Plays the schedule to its end and checks the rules. */
    Outcome play() throws InterruptedException, ExecutionException, TimeoutException {
        loop.submit(this::build).get();
        for (ServeProcess p : proxies) {
            ready.get(p).get(PATIENCE_S, TimeUnit.SECONDS);
        }
        CompletableFuture<Void> asked = new CompletableFuture<>();
        loop.execute(
                () -> {
                    startUs = time.nowUs();
                    schedule.faults().forEach(f -> after(f.atS(), () -> happen(f)));
                    schedule.publications()
                            .forEach(p -> after(p.atS(), () -> distribution.publish(p)));
                    if (!schedule.fleet().quiet()) {
                        clients.ask(time.nowUs() + (long) (schedule.seconds() * 1e6));
                    }
                    after(
                            schedule.seconds() + (schedule.fleet().quiet() ? 0 : LAST_TRIES_S),
                            () -> asked.complete(null));
                });
        asked.get();
        List<Expected> unmet = unmet();
        List<Auditors.Broken> unpublished = distribution == null ? List.of() : distribution.await();
        loop.submit(this::end).get();
        for (ServeProcess p : proxies) {
            over.get(p).get(PATIENCE_S, TimeUnit.SECONDS);
        }
        return loop.submit(() -> judge(unmet, unpublished)).get();
    }

    /** Awaits the events that the schedule expects; returns those that did not occur in time. */
    private List<Expected> unmet() throws InterruptedException, ExecutionException {
        List<Expected> unmet = new ArrayList<>(schedule.expected());
        long fromUs = time.nowUs();
        while (true) {
            loop.submit(
                            () -> {
                                List<String> running =
                                        proxies.stream()
                                                .filter(ServeProcess::runs)
                                                .map(p -> p.name)
                                                .toList();
                                unmet.removeIf(e -> e.met(running, record.events(), startUs));
                            })
                    .get();
            if (unmet.stream().allMatch(e -> time.nowUs() - fromUs > e.withinS() * 1e6)) {
                return unmet;
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private Outcome judge(List<Expected> unmet, List<Auditors.Broken> unpublished) {
        history.flush();
        List<Event> events = record.events();
        List<Auditors.Broken> broken = Auditors.brokenWhateverTheTime(events);
        broken.addAll(LeaseAuditor.broken(events));
        broken.addAll(ConfigurationJudge.broken(events));
        broken.addAll(unpublished);
        crashes.forEach(c -> broken.add(new Auditors.Broken("no crash", c)));
        unmet.forEach(
                e ->
                        broken.add(
                                new Auditors.Broken(
                                        "progress",
                                        "expected event of "
                                                + e.by()
                                                + " did not occur: "
                                                + e.said())));
        List<Auditors.Broken> late = new ArrayList<>(Auditors.broken(events));
        late.removeAll(broken);
        return new Outcome(new Service(events), broken, late);
    }

    private void after(double seconds, Runnable task) {
        time.after((long) (seconds * 1e6), task);
    }

    private static SplittableRandom stream(long seed, String part, int number) {
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
                        CALL_US,
                        proxy -> false,
                        (proxy, node) -> links.between(proxy, nodeAt.get(node)).address());
        discovery.start(links.part(DISCOVERY, names), known(1, 0));
        MemberRegister register =
                new MemberRegister(
                        time, record, REGISTER_SLOTS, REGISTER_US, ProxyConfig.REPEATS_DROPPED_US);
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
            InetSocketAddress address = known(2, i);
            String name = "s-" + i;
            nodeAt.put(address, name);
            CacheNode node =
                    new CacheNode(
                            name,
                            0,
                            address,
                            kind,
                            time,
                            links.part(name, names),
                            record,
                            register,
                            stream(schedule.seed(), "node", i));
            nodes.add(node);
            node.startWarm(schedule.load().keys());
            list(node, "SERVING");
        }
        if (schedule.fleet().drills() > 0) {
            new GuardedResource(time, record, links.part(GuardedResource.NAME, names), true)
                    .start(known(3, 0));
        }
        clients =
                new Clients(
                        time,
                        List.of(links.part(CLIENTS, List.of())),
                        record,
                        stream(schedule.seed(), CLIENTS, 0),
                        schedule.load(),
                        ProxyConfig.clubNames(schedule.load().clubs().size()),
                        front,
                        schedule.proxies());
        clients.takenWhenWritten();
        for (int i = 0; i < schedule.proxies(); i++) {
            meets.add(links.free());
        }
        if (schedule.fleet().relays() > 0) {
            distribution =
                    new DistributionRig(schedule, folder, links, keeper, program, time, record);
        }
        for (int i = 0; i < schedule.proxies(); i++) {
            proxies.add(proxy(i, names.get(i)));
        }
        found();
        proxies.forEach(this::start);
    }

    /** Initializes the disk of each voter with the command that operators use. */
    private void found() {
        List<Process> founding = new ArrayList<>();
        try {
            for (int i = 0; i < schedule.fleet().voters(); i++) {
                String file = folder.resolve("proxy-" + i + ".toml").toString();
                Process each =
                        new ProcessBuilder(program.apply(new String[] {"daemon", "found", file}))
                                .redirectErrorStream(true)
                                .redirectOutput(folder.resolve("found-" + i + ".log").toFile())
                                .start();
                keeper.keeps(each.toHandle());
                founding.add(each);
            }
            for (Process each : founding) {
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
    private static InetSocketAddress known(int net, int host) {
        try {
            byte[] bytes = {10, (byte) net, (byte) (host >> 8), (byte) host};
            return new InetSocketAddress(InetAddress.getByAddress(bytes), 1);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a 4-byte address cannot be invalid", e);
        }
    }

    private void list(CacheNode node, String state) {
        long agoMs = (time.nowUs() - node.startedUs()) / 1000;
        discovery.set(
                node.name,
                node.address,
                "room-north",
                node.kind.name(),
                state,
                node.startedUs() == 0 ? 0 : System.currentTimeMillis() - agoMs);
    }

    private ServeProcess proxy(int i, String name) {
        InetSocketAddress listens = links.free();
        front.door(links.link(CLIENTS, name, listens), 0);
        ProxyConfig config =
                new ProxyConfig(
                        i,
                        schedule.proxies(),
                        0,
                        List.of("room-north"),
                        COLD_FROM,
                        COLD_S,
                        schedule.load().clubs(),
                        schedule.nodes() / schedule.load().workMs() * 1000 * QUOTA_PART);
        String platforms =
                config.json(
                        name,
                        stream(schedule.seed(), "proxy", i).nextLong(),
                        discovery.whole(name),
                        ProxyConfig.ATTEMPTS);
        String discoveryAt = DiscoveryService.text(links.between(name, DISCOVERY).address());
        Path file = folder.resolve(name + (schedule.daemons() ? ".toml" : ".json"));
        try {
            Files.writeString(
                    file,
                    !schedule.daemons()
                            ? platforms
                            : DaemonText.of(
                                            name,
                                            DiscoveryService.text(listens),
                                            discoveryAt,
                                            folder.resolve(name),
                                            cooperation(i),
                                            platforms)
                                    + (distribution == null ? "" : distribution.section(i)));
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
                                DiscoveryService.text(listens),
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

    /** A daemon's settings for its peers, with a relay to each of them. */
    private DaemonText.CooperationText cooperation(int i) {
        Map<String, String> routes = new LinkedHashMap<>();
        for (int other = 0; other < schedule.proxies(); other++) {
            if (other != i) {
                String name = "proxy-" + other;
                routes.put(
                        name,
                        DiscoveryService.text(links.link("proxy-" + i, name, meets.get(other))));
            }
        }
        List<String> seeds = routes.values().stream().limit(MOST_SEEDS).toList();
        String resource =
                schedule.fleet().drills() == 0
                        ? ""
                        : DiscoveryService.text(
                                links.between("proxy-" + i, GuardedResource.NAME).address());
        return new DaemonText.CooperationText(
                DiscoveryService.text(meets.get(i)),
                seeds,
                routes,
                IntStream.range(0, schedule.fleet().voters()).mapToObj(v -> "proxy-" + v).toList(),
                schedule.fleet().drills(),
                schedule.fleet().leaseMs(),
                resource);
    }

    // ---- processes ----

    private void start(ServeProcess p) {
        if (p.runs() || ending) {
            return;
        }
        ready.put(p, new CompletableFuture<>());
        over.put(p, new CompletableFuture<>());
        endsBy.remove(p);
        p.start(
                line -> {
                    DaemonText.said(line)
                            .ifPresent(
                                    said ->
                                            record.add(
                                                    time.nowUs(),
                                                    Event.Kind.SAID,
                                                    p.name,
                                                    said.clockUs(),
                                                    said.what()));
                    if (line.contains(LISTENING) && !ready.get(p).isDone()) {
                        put(p, "started");
                        front.use(proxies.indexOf(p), true);
                        ready.get(p).complete(null);
                    }
                },
                code -> ended(p, code));
    }

    private void ended(ServeProcess p, int code) {
        String by = endsBy.remove(p);
        if (!"killed".equals(by)) {
            put(p, by == null ? "ended by itself with " + code : by);
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
            front.use(proxies.indexOf(p), false);
        }
        ready.get(p).complete(null); // ends the wait for its start; the exit is recorded above
        over.get(p).complete(null);
    }

    private void put(ServeProcess p, String what) {
        record.add(time.nowUs(), Event.Kind.FAULT, p.name, "", what);
    }

    /** Terminates every process, once. */
    private void end() {
        ending = true;
        for (ServeProcess p : proxies) {
            p.resume();
            tellToEnd(p, () -> {});
        }
    }

    /**
     * Sends SIGTERM once the process listens: before that it has no handler, and the signal would kill it.
     * {@code told} runs after the signal, unless the process was already ending.
     */
    private void tellToEnd(ServeProcess p, Runnable told) {
        if (!p.runs()) {
            return;
        }
        ready.get(p)
                .thenRun(
                        () -> {
                            if (p.runs() && endsBy.putIfAbsent(p, "ended") == null) {
                                p.end();
                                told.run();
                            }
                        });
    }

    // ---- faults ----

    private void happen(RigFault f) {
        switch (f.kind()) {
            case KILL, LOSE -> kill(f);
            case HOLD -> hold(f);
            case RESTART -> restart(f);
            case CRASH -> crash(f);
            default -> links(f);
        }
    }

    private void kill(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        if (!p.runs()) {
            return;
        }
        endsBy.put(p, "killed");
        put(p, "killed"); // recorded now, as the exit is noticed a moment later
        p.kill();
        CompletableFuture<Void> gone = over.get(p);
        after(
                f.noticedS(),
                () -> {
                    if (!p.runs()) {
                        front.use(f.target(), false);
                    }
                });
        if (f.forS() > 0) {
            after(
                    f.forS(),
                    () ->
                            gone.thenRun(
                                    () -> {
                                        if (f.kind() == RigFault.Kind.LOSE) {
                                            forget(p);
                                        }
                                        start(p);
                                    }));
        }
    }

    /** Deletes the process's data folder. */
    private void forget(ServeProcess p) {
        put(p, "lost its disk");
        try (Stream<Path> files = Files.walk(folder.resolve(p.name))) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException("the folder of " + p.name + " cannot be emptied", e);
        }
    }

    private void hold(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        if (p.runs()) {
            put(p, "held " + (long) (f.forS() * 1e6));
            p.hold();
            if (f.forS() > 0) {
                after(f.forS(), p::resume);
            }
        }
    }

    private void restart(RigFault f) {
        ServeProcess p = proxies.get(f.target());
        tellToEnd(
                p,
                () -> {
                    put(p, "told to end");
                    front.use(f.target(), false);
                    over.get(p).thenRun(() -> after(f.forS(), () -> start(p)));
                });
    }

    private void crash(RigFault f) {
        CacheNode node = nodes.get(f.target());
        node.end("crash");
        after(
                f.noticedS(),
                () -> {
                    if (!node.up()) {
                        list(node, "DELETED");
                    }
                });
        if (f.forS() > 0) {
            after(
                    f.forS(),
                    () -> {
                        if (!node.up()) {
                            node.startCold();
                            after(ADDED_S, () -> list(node, "SERVING"));
                        }
                    });
        }
    }

    private void links(RigFault f) {
        List<Relay> met = links.matching(f.from(), f.to());
        record.add(
                time.nowUs(),
                Event.Kind.FAULT,
                f.from() + ">" + f.to(),
                "",
                f.kind().word() + " " + f.there() + " " + f.back());
        switch (f.kind()) {
            case REFUSE -> met.forEach(r -> r.refuse(true));
            case RESET -> met.forEach(Relay::reset);
            default -> met.forEach(r -> r.state(f.there(), f.back()));
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
                        met.forEach(
                                r -> {
                                    if (f.kind() == RigFault.Kind.REFUSE) {
                                        r.refuse(false);
                                    } else {
                                        r.state(LinkState.SOUND, LinkState.SOUND);
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
                                ending = true;
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
