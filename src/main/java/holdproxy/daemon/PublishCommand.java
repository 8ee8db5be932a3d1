package holdproxy.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code holdproxy daemon publish CHANGE.toml}: publishes settings to the fleet and waits until each
 * connected proxy has them in force or has rejected them.
 */
@Command(
        name = "publish",
        description = {
            "Publishes settings to the fleet and waits until proxies apply or reject them.",
            "Exit codes: 0 in force at all connected proxies; 1 rejected by some; 2 the command or"
                + " the file is wrong, or the log refused the change; 3 not settled within --wait;"
                + " 4 no control machine accepted it."
        },
        mixinStandardHelpOptions = true)
final class PublishCommand implements Callable<Integer> {
    static final int IN_FORCE = 0;
    static final int REJECTED = 1;
    static final int REFUSED = 2;
    static final int NOT_SETTLED = 3;
    static final int NOT_ACCEPTED = 4;

    private static final long RETRY_INTERVAL_MS = 200;
    private static final long POLL_INTERVAL_MS = 250;

    @Mixin private ControlOptions control;

    @Option(
            names = "--wait",
            paramLabel = "SECONDS",
            defaultValue = "60",
            description = "maximum wait for a control machine, and again for the proxies")
    private int waitSeconds;

    @Option(
            names = "--expect",
            paramLabel = "PROXIES",
            defaultValue = "1",
            description = "minimum number of connected proxies to wait for")
    private long expectedProxies;

    @Parameters(
            paramLabel = "CHANGE.toml",
            description = "file with [settings] to publish and remove = [\"section\"]")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
        AdminApi.PublishRequest request = request();
        List<InetSocketAddress> machines = control.addresses();
        Object result = publish(machines, request);
        if (result instanceof AdminApi.Failure failure) {
            System.err.println("holdproxy: not published: " + failure.error());
            return failure.retry() ? NOT_ACCEPTED : REFUSED;
        }
        AdminApi.Published version = (AdminApi.Published) result;
        System.out.println("published as " + version.epoch() + "/" + version.number());
        return await(machines, version);
    }

    private AdminApi.PublishRequest request() {
        Map<String, String> puts = new HashMap<>();
        List<String> removed = new ArrayList<>();
        PublishedSettings.read(file)
                .forEach(
                        (key, value) -> {
                            if (value == null) {
                                removed.add(key);
                            } else {
                                puts.put(key, new String(value, StandardCharsets.UTF_8));
                            }
                        });
        return new AdminApi.PublishRequest(UUID.randomUUID().toString(), puts, removed);
    }

    /** Tries the machines in turn until one accepts the change or refuses it for good. */
    private Object publish(List<InetSocketAddress> machines, AdminApi.PublishRequest request)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        while (true) {
            List<String> problems = new ArrayList<>();
            for (InetSocketAddress machine : machines) {
                Object result = control.client().publish(machine, request);
                if (!(result instanceof AdminApi.Failure failure) || !failure.retry()) {
                    return result;
                }
                problems.add(failure.error());
            }
            if (System.nanoTime() >= endNs) {
                return new AdminApi.Failure(String.join("; ", problems), true);
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    private int await(List<InetSocketAddress> machines, AdminApi.Published version)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        String printed = "";
        while (true) {
            FleetVersions fleet = control.versions(machines, problem -> {});
            boolean settled = fleet.isSettledAt(version, expectedProxies);
            boolean done = settled || System.nanoTime() >= endNs;
            String summary = fleet.summary(version);
            if (done || !summary.equals(printed)) {
                System.out.println(summary);
                printed = summary;
            }
            if (done) {
                return !settled
                        ? NOT_SETTLED
                        : fleet.rejectingAt(version) > 0 ? REJECTED : IN_FORCE;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
