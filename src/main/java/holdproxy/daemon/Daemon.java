package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.membership.Change;
import holdproxy.membership.Member;
import holdproxy.membership.MembershipService;
import holdproxy.net.Config;
import holdproxy.net.ConfigSource;
import holdproxy.net.Service;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The life cycle of a daemon: starts the proxy and the parts around it and stops them in order. */
final class Daemon {
    /** Variable that tells {@link Service} where to keep its files; set to the daemon's folder. */
    private static final String KEPT_BELOW = "TMPDIR";

    private static final long NS_PER_US = 1_000;

    private final Path file;
    private DaemonFile inUse;
    private MembershipService membership;
    private ConsensusPart consensus;
    private DistributionPart distribution;

    /** The published settings in force; replaced as a whole. */
    private Map<String, byte[]> published = Map.of();

    private Daemon(Path file, DaemonFile inUse) {
        this.file = file;
        this.inUse = inUse;
    }

    /** Starts the daemon; returns once it accepts clients. Throws {@link BadInput} if it cannot start. */
    static void start(Path file, Map<String, String> env) {
        DaemonFile read = DaemonFile.read(file, new SecureRandom().nextLong() >>> 1);
        try {
            Files.createDirectories(read.folder());
        } catch (IOException e) {
            throw new BadInput("cannot create the folder " + read.folder() + ": " + e);
        }
        new Daemon(file, read).run(env);
    }

    private void run(Map<String, String> env) {
        EventLog.event("starting", "name", inUse.name(), "pid", ProcessHandle.current().pid());
        if (inUse.membership() != null) {
            long generation = GenerationFile.next(inUse.folder(), System.currentTimeMillis());
            membership =
                    MembershipService.start(
                            inUse.membership(),
                            generation,
                            text -> Config.address(text, "an address"),
                            new MembershipEvents());
            EventLog.event(
                    "membership",
                    "name",
                    inUse.name(),
                    "generation",
                    generation,
                    "address",
                    inUse.membership().address());
            if (!inUse.voters().isEmpty()) {
                consensus = ConsensusPart.start(inUse, generation, membership);
            }
        }
        Map<String, String> own = new HashMap<>(env);
        own.put(KEPT_BELOW, inUse.folder().toString());
        Service service =
                Service.run(
                        inUse.proxy(),
                        new ConfigSource(file, config -> readAgain()),
                        own,
                        EventLog::line,
                        this::end);
        service.listening();
        if (inUse.distribution() != null) {
            distribution =
                    DistributionPart.start(
                            inUse.name(),
                            inUse.distribution(),
                            new PublishedConfiguration(
                                    inUse.name(), settings -> take(service, settings)),
                            new FreshnessReporter(
                                    service.figures(), () -> System.nanoTime() / NS_PER_US),
                            consensus);
        }
        EventLog.event("started", "name", inUse.name());
    }

    /** Reads the file again and applies the published settings over it. The service serializes the calls. */
    private Config readAgain() {
        DaemonFile now = DaemonFile.again(file, inUse);
        Config config = published.isEmpty() ? now.proxy() : now.with(published);
        inUse = now;
        return config;
    }

    private Optional<String> take(Service service, Map<String, byte[]> settings) {
        return Optional.ofNullable(
                service.take(
                        () -> {
                            Config config = inUse.with(settings);
                            published = settings;
                            return config;
                        }));
    }

    /** On SIGTERM: answers the accepted requests, then exits. */
    private void end(Service service) {
        EventLog.event("ending", "name", inUse.name());
        // Hand over in parallel with the drain, so that others take over leases at once.
        Thread handing = new Thread(this::handOver, "hand-over");
        handing.start();
        service.drain();
        try {
            handing.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        EventLog.event("ended", "name", inUse.name());
        Runtime.getRuntime().halt(0);
    }

    private void handOver() {
        if (distribution != null) {
            distribution.end();
        }
        if (consensus != null) {
            consensus.end();
        }
        if (membership != null) {
            membership.leave();
        }
    }

    /** Logs membership changes as events. */
    private static final class MembershipEvents implements MembershipService.Listener {
        @Override
        public void changed(Change change) {
            EventLog.event(
                    "member",
                    "member",
                    change.now().name(),
                    "state",
                    change.now().state(),
                    "before",
                    change.before() == null ? "unknown" : change.before().state(),
                    "generation",
                    change.now().generation(),
                    "incarnation",
                    change.now().incarnation(),
                    "voices",
                    change.voices());
        }

        @Override
        public void superseded(Member by) {
            EventLog.event("superseded", "address", by.address(), "generation", by.generation());
        }

        @Override
        public void sent(long frames, long bytes, long dropped) {
            EventLog.event("links", "frames", frames, "bytes", bytes, "dropped", dropped);
        }

        @Override
        public void line(String text) {
            EventLog.line(text);
        }
    }
}
