package holdproxy.scale;

import holdproxy.emulator.ProxyConfig;
import holdproxy.harness.ChildReaper;
import holdproxy.harness.DaemonFormat;
import holdproxy.harness.ProgramCommand;
import holdproxy.harness.ServeProcess;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;

/** Real daemons, one process each, with their configuration files and log lines. */
final class DaemonFleet implements AutoCloseable {
    private static final String HEAP = "80m";
    private static final String LISTENING = "listening on ";
    private static final long EXIT_TIMEOUT_S = 20;

    static final class Daemon {
        final String name;
        final InetSocketAddress clients;
        final Path file;
        private final ServeProcess process;
        private final List<String> lines = new ArrayList<>();
        private volatile boolean ended;
        private volatile long pid;

        private Daemon(String name, InetSocketAddress clients, Path file, ServeProcess process) {
            this.name = name;
            this.clients = clients;
            this.file = file;
            this.process = process;
        }

        private void receiveLine(String line) {
            synchronized (lines) {
                lines.add(line);
            }
            if (pid == 0) {
                DaemonFormat.parseEvent(line)
                        .filter(said -> said.text().startsWith("starting "))
                        .ifPresent(said -> pid = Long.parseLong(field(said.text(), "pid")));
            }
        }

        /** Counts the log lines that match. */
        long count(Predicate<String> predicate) {
            synchronized (lines) {
                return lines.stream().filter(predicate).count();
            }
        }

        void lines(Consumer<String> reader) {
            synchronized (lines) {
                lines.forEach(reader);
            }
        }

        /** The last event whose text starts with {@code beginning}, or null. */
        DaemonFormat.LoggedEvent last(String beginning) {
            synchronized (lines) {
                for (int i = lines.size() - 1; i >= 0; i--) {
                    DaemonFormat.LoggedEvent said =
                            DaemonFormat.parseEvent(lines.get(i)).orElse(null);
                    if (said != null && said.text().startsWith(beginning)) {
                        return said;
                    }
                }
                return null;
            }
        }

        ProcessUsage usage() {
            return ProcessUsage.of(pid);
        }

        void sendHangup() {
            process.sendHangUp();
        }
    }

    private final Path folder;
    private final ChildReaper reaper;
    private final ExecutorService loop = Executors.newSingleThreadExecutor();
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<String, String> routes = new LinkedHashMap<>();

    /** Generates each daemon's configuration file from the number of attempts that it allows. */
    private final Map<Daemon, IntFunction<String>> configurations = new LinkedHashMap<>();

    private final int number;
    private IntFunction<String> extraSection = i -> "";

    /** {@code number}: distinguishes the addresses of this fleet from those of others in the run. */
    DaemonFleet(RunContext context, int number) throws IOException {
        this.number = number;
        folder = Files.createDirectories(context.folder().resolve("daemons-" + number));
        reaper = context.reaper();
    }

    /** Appends a section to each daemon's configuration, by the daemon's number. */
    void extraSection(IntFunction<String> extraSection) {
        this.extraSection = extraSection;
    }

    /** The value of {@code name=value} in an event's text. */
    static String field(String text, String name) {
        for (String word : text.split(" ")) {
            if (word.startsWith(name + "=")) {
                return word.substring(name.length() + 1);
            }
        }
        throw new IllegalStateException("no " + name + " in the event " + text);
    }

    /** Adds the address of a process outside this fleet to the daemons' configurations. */
    void route(String name, InetSocketAddress address) {
        routes.put(name, HollowWatches.addressText(address));
    }

    /** {@code voters}: how many of the daemons form the consensus group. */
    void start(int count, int voters, InetSocketAddress discovery, RunContext context)
            throws Exception {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("daemon-" + i);
        }
        for (int i = 0; i < count; i++) {
            daemons.add(daemon(i, names, names.subList(0, voters), discovery));
        }
        for (Daemon each : daemons.subList(0, voters)) {
            foundGroup(each);
        }
        for (Daemon each : daemons) {
            loop.submit(() -> each.process.start(each::receiveLine, code -> each.ended = true))
                    .get();
        }
        context.await(
                "all daemons listen",
                () -> daemons.stream().allMatch(d -> d.count(l -> l.contains(LISTENING)) > 0));
    }

    InetSocketAddress memberAddress(int i) {
        return LoopbackNetwork.address(4, number, i + 1, Port.MEMBERS.number());
    }

    private Daemon daemon(
            int i, List<String> names, List<String> voters, InetSocketAddress discovery) {
        InetSocketAddress clients =
                LoopbackNetwork.address(4, number, i + 1, Port.CLIENTS.number());
        Map<String, String> peerRoutes = new LinkedHashMap<>(routes);
        for (int other = 0; other < names.size(); other++) {
            if (other != i) {
                peerRoutes.put(names.get(other), HollowWatches.addressText(memberAddress(other)));
            }
        }
        DaemonFormat.PeerSettings peers =
                new DaemonFormat.PeerSettings(
                        HollowWatches.addressText(memberAddress(i)),
                        List.of(HollowWatches.addressText(memberAddress(0))),
                        peerRoutes,
                        voters,
                        0,
                        1_000,
                        "");
        Path file = folder.resolve(names.get(i) + ".toml");
        Path dataFolder = folder.resolve(names.get(i));
        Daemon daemon =
                new Daemon(
                        names.get(i),
                        clients,
                        file,
                        new ServeProcess(
                                names.get(i),
                                ProgramCommand.of(
                                        HEAP,
                                        List.of("-XX:TieredStopAtLevel=1"),
                                        "daemon",
                                        "--config",
                                        file.toString()),
                                Map.of(),
                                folder.resolve(names.get(i) + ".log"),
                                reaper,
                                loop));
        configurations.put(
                daemon,
                attempts ->
                        DaemonFormat.configuration(
                                        daemon.name,
                                        HollowWatches.addressText(clients),
                                        HollowWatches.addressText(discovery),
                                        dataFolder,
                                        peers,
                                        new ProxyConfig(
                                                        i,
                                                        names.size(),
                                                        0,
                                                        List.of(DiscoveryChild.ZONE),
                                                        1,
                                                        1,
                                                        List.of(1.0),
                                                        100_000)
                                                .json(
                                                        daemon.name,
                                                        1,
                                                        ProxyConfig.EMPTY_NODE_LIST,
                                                        attempts))
                                + extraSection.apply(i));
        write(daemon, ProxyConfig.MAX_ATTEMPTS);
        return daemon;
    }

    /** Writes the configuration file of a daemon, with this number of attempts. */
    void write(Daemon daemon, int attempts) {
        try {
            Files.writeString(daemon.file, configurations.get(daemon).apply(attempts));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "the configuration of " + daemon.name + " cannot be written", e);
        }
    }

    private void foundGroup(Daemon daemon) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                ProgramCommand.of(
                                        HEAP, List.of(), "daemon", "found", daemon.file.toString()))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("found-" + daemon.name + ".log").toFile())
                        .start();
        reaper.register(process.toHandle());
        if (process.waitFor() != 0) {
            throw new IllegalStateException(
                    "cannot found the consensus group; see the logs in " + folder);
        }
    }

    List<Daemon> daemons() {
        return daemons;
    }

    @Override
    public void close() throws Exception {
        loop.submit(() -> daemons.forEach(d -> d.process.terminate())).get();
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EXIT_TIMEOUT_S);
        while (!daemons.stream().allMatch(d -> d.ended) && System.nanoTime() < endNs) {
            RunContext.pause(0.05);
        }
        loop.submit(() -> daemons.forEach(d -> d.process.kill())).get();
        loop.shutdown();
    }
}
