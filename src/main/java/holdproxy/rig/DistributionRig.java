package holdproxy.rig;

import holdproxy.toml.TomlText;
import holdproxy.town.Auditors;
import holdproxy.town.DiscoveryService;
import holdproxy.town.Event;
import holdproxy.town.Timeline;
import holdproxy.town.TownRecord;
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
final class DistributionRig {
    /** Suffix of a process's name in the name of its link for published changes. */
    private static final String CHANGES = ".changes";

    private static final String OPERATORS = "operators";
    private static final String SITE = "site-0";
    private static final int PUBLISH_WITHIN_S = 60;
    private static final long PATIENCE_S = 150;

    private record Publishing(Schedule.Publication publication, int number, Process process) {}

    private final Schedule schedule;
    private final Path folder;
    private final Links links;
    private final Keeper keeper;
    private final Function<String[], List<String>> program;
    private final Timeline time;
    private final TownRecord record;
    private final List<InetSocketAddress> listens = new ArrayList<>();
    private final List<InetSocketAddress> admins = new ArrayList<>();
    private final List<Publishing> published = new ArrayList<>();

    /** Completes when the last command has exited. */
    private CompletableFuture<Void> last = CompletableFuture.completedFuture(null);

    DistributionRig(
            Schedule schedule,
            Path folder,
            Links links,
            Keeper keeper,
            Function<String[], List<String>> program,
            Timeline time,
            TownRecord record) {
        this.schedule = schedule;
        this.folder = folder;
        this.links = links;
        this.keeper = keeper;
        this.program = program;
        this.time = time;
        this.record = record;
        for (int i = 0; i < controls() + relays(); i++) {
            listens.add(links.free());
        }
        for (int i = 0; i < controls(); i++) {
            admins.add(links.free());
        }
    }

    private int controls() {
        return schedule.fleet().voters();
    }

    private int relays() {
        return schedule.fleet().relays();
    }

    /** The {@code [distribution]} section of a daemon's file. */
    String section(int daemon) {
        String role =
                daemon < controls()
                        ? "control"
                        : daemon < controls() + relays() ? "relay" : "proxy";
        StringBuilder text = new StringBuilder("[distribution]\n");
        line(text, "role", role);
        line(text, "site", SITE);
        text.append("lease_ms = ").append(schedule.fleet().leaseMs()).append('\n');
        if (!role.equals("proxy")) {
            line(text, "listen", DiscoveryService.text(listens.get(daemon)));
        }
        if (role.equals("control")) {
            line(text, "admin", DiscoveryService.text(admins.get(daemon)));
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
        IntStream above =
                role.equals("relay")
                        ? IntStream.range(0, controls())
                        : IntStream.range(controls(), controls() + relays());
        return above.mapToObj(
                other ->
                        DiscoveryService.text(
                                links.link(
                                        "proxy-" + daemon,
                                        "proxy-" + other + CHANGES,
                                        listens.get(other))));
    }

    /** Publishes once the commands for earlier publications have exited. Called on the event loop. */
    void publish(Schedule.Publication publication) {
        last =
                last.thenCompose(
                        before -> {
                            CompletableFuture<Void> ended = new CompletableFuture<>();
                            start(publication)
                                    .onExit()
                                    .thenRun(() -> time.after(0, () -> ended.complete(null)));
                            return ended;
                        });
    }

    private Process start(Schedule.Publication publication) {
        int number = published.size();
        Path file = folder.resolve("publish-" + number + ".toml");
        List<String> words = new ArrayList<>(List.of("daemon", "publish"));
        admins.forEach(each -> words.addAll(List.of("--control", DiscoveryService.text(each))));
        words.addAll(List.of("--wait", Integer.toString(PUBLISH_WITHIN_S), file.toString()));
        try {
            Files.writeString(file, "settings = " + DaemonText.toml(publication.settings()) + "\n");
            Process process =
                    new ProcessBuilder(program.apply(words.toArray(String[]::new)))
                            .redirectErrorStream(true)
                            .redirectOutput(log(number).toFile())
                            .start();
            keeper.keeps(process.toHandle());
            published.add(new Publishing(publication, number, process));
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
    List<Auditors.Broken> await()
            throws InterruptedException, ExecutionException, TimeoutException {
        last.get(PATIENCE_S, TimeUnit.SECONDS);
        List<Auditors.Broken> broken = new ArrayList<>();
        for (Publishing each : published) {
            int code = each.process.onExit().get(PATIENCE_S, TimeUnit.SECONDS).exitValue();
            if (code != each.publication.exitCode()) {
                broken.add(
                        new Auditors.Broken(
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
        published.forEach(each -> each.process.destroyForcibly());
    }
}
