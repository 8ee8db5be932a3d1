package holdproxy.harness;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.DiscoveryService;
import holdproxy.emulator.Event;
import holdproxy.emulator.Scheduler;
import holdproxy.emulator.SiteRecord;
import holdproxy.toml.TomlText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Distribution of published changes among a rig's daemons. The voters are control machines, the daemons after
 * them are relays of one site, and the others are the proxies of that site. Changes are published with the
 * command that operators use.
 */
final class DistributionSetup {
    /** Suffix of a process's name in the name of its link for published changes. */
    private static final String CHANGE_LINK_SUFFIX = ".changes";

    private static final String OPERATORS = "operators";
    private static final String SITE = "site-0";
    private static final int PUBLISH_TIMEOUT_S = 60;
    private static final long EXIT_TIMEOUT_S = 150;

    private record PublishCommand(Schedule.Publication publication, int number, Process process) {}

    private final Schedule schedule;
    private final Path folder;
    private final Links links;
    private final ChildReaper keeper;
    private final Function<String[], List<String>> program;
    private final Scheduler time;
    private final SiteRecord record;
    private final List<InetSocketAddress> listenAddresses = new ArrayList<>();
    private final List<InetSocketAddress> adminAddresses = new ArrayList<>();
    private final List<PublishCommand> commands = new ArrayList<>();

    /** Completes when the last command has exited. */
    private CompletableFuture<Void> lastExit = CompletableFuture.completedFuture(null);

    DistributionSetup(
            Schedule schedule,
            Path folder,
            Links links,
            ChildReaper keeper,
            Function<String[], List<String>> program,
            Scheduler time,
            SiteRecord record) {
        this.schedule = schedule;
        this.folder = folder;
        this.links = links;
        this.keeper = keeper;
        this.program = program;
        this.time = time;
        this.record = record;
        for (int i = 0; i < controlCount() + relayCount(); i++) {
            listenAddresses.add(links.freeAddress());
        }
        for (int i = 0; i < controlCount(); i++) {
            adminAddresses.add(links.freeAddress());
        }
    }

    private int controlCount() {
        return schedule.fleet().voters();
    }

    private int relayCount() {
        return schedule.fleet().relays();
    }

    /** The {@code [distribution]} section of a daemon's file. */
    String configSection(int daemon) {
        String role =
                daemon < controlCount()
                        ? "control"
                        : daemon < controlCount() + relayCount() ? "relay" : "proxy";
        StringBuilder text = new StringBuilder("[distribution]\n");
        line(text, "role", role);
        line(text, "site", SITE);
        text.append("lease_ms = ").append(schedule.fleet().leaseMs()).append('\n');
        if (!role.equals("proxy")) {
            line(text, "listen", DiscoveryService.formatAddress(listenAddresses.get(daemon)));
        }
        if (role.equals("control")) {
            line(text, "admin", DiscoveryService.formatAddress(adminAddresses.get(daemon)));
        } else {
            text.append("upstream = ")
                    .append(upstream(daemon, role).map(TomlText::quoted).toList())
                    .append('\n');
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(key).append(" = ").append(TomlText.quoted(value)).append('\n');
    }

    /** Opens links to the daemons that may serve this one; returns their addresses. */
    private Stream<String> upstream(int daemon, String role) {
        IntStream parents =
                role.equals("relay")
                        ? IntStream.range(0, controlCount())
                        : IntStream.range(controlCount(), controlCount() + relayCount());
        return parents.mapToObj(
                other ->
                        DiscoveryService.formatAddress(
                                links.open(
                                        "proxy-" + daemon,
                                        "proxy-" + other + CHANGE_LINK_SUFFIX,
                                        listenAddresses.get(other))));
    }

    /** Publishes once the commands for earlier publications have exited. Called on the event loop. */
    void publish(Schedule.Publication publication) {
        lastExit =
                lastExit.thenCompose(
                        before -> {
                            CompletableFuture<Void> exited = new CompletableFuture<>();
                            start(publication)
                                    .onExit()
                                    .thenRun(() -> time.schedule(0, () -> exited.complete(null)));
                            return exited;
                        });
    }

    private Process start(Schedule.Publication publication) {
        int number = commands.size();
        Path file = folder.resolve("publish-" + number + ".toml");
        List<String> arguments = new ArrayList<>(List.of("daemon", "publish"));
        adminAddresses.forEach(
                each ->
                        arguments.addAll(
                                List.of("--control", DiscoveryService.formatAddress(each))));
        arguments.addAll(List.of("--wait", Integer.toString(PUBLISH_TIMEOUT_S), file.toString()));
        try {
            Files.writeString(
                    file, "settings = " + DaemonFormat.toml(publication.settings()) + "\n");
            Process process =
                    new ProcessBuilder(program.apply(arguments.toArray(String[]::new)))
                            .redirectErrorStream(true)
                            .redirectOutput(log(number).toFile())
                            .start();
            keeper.register(process.toHandle());
            commands.add(new PublishCommand(publication, number, process));
            record.add(
                    time.nowUs(),
                    Event.Kind.FAULT,
                    OPERATORS,
                    "",
                    "publish " + publication.settings());
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException("the publish command cannot be started", e);
        }
    }

    private Path log(int number) {
        return folder.resolve("publish-" + number + ".log");
    }

    /** Awaits all publish commands; returns a broken rule for each unexpected exit code. */
    List<Auditors.Violation> awaitCommands()
            throws InterruptedException, ExecutionException, TimeoutException {
        lastExit.get(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        List<Auditors.Violation> broken = new ArrayList<>();
        for (PublishCommand each : commands) {
            int code = each.process.onExit().get(EXIT_TIMEOUT_S, TimeUnit.SECONDS).exitValue();
            if (code != each.publication.exitCode()) {
                broken.add(
                        new Auditors.Violation(
                                "published",
                                "publication "
                                        + each.number
                                        + " exited with code "
                                        + code
                                        + ", expected "
                                        + each.publication.exitCode()
                                        + ": see "
                                        + log(each.number)));
            }
        }
        return broken;
    }

    /** Kills the publish commands that still run. */
    void close() {
        commands.forEach(each -> each.process.destroyForcibly());
    }
}
