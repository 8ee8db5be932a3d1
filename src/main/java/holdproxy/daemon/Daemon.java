package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.membership.Member;
import holdproxy.membership.MemberChange;
import holdproxy.membership.MembershipService;
import holdproxy.net.Config;
import holdproxy.net.ConfigSource;
import holdproxy.net.ProxyService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The life cycle of a daemon: starts the proxy and the parts around it and stops them in order. */
final class Daemon {
    /** Variable that tells {@link ProxyService} where to keep its files; set to the daemon's folder. */
    private static final String KEPT_FILES_VARIABLE = "TMPDIR";

    private static final long NS_PER_US = 1_000;

    private final Path configFile;
    private DaemonFile current;
    private MembershipService membership;
    private ConsensusPart consensus;
    private DistributionPart distribution;

    /** The published settings in force; replaced as a whole. */
    private Map<String, byte[]> publishedSettings = Map.of();

    private Daemon(Path file, DaemonFile inUse) {
        this.configFile = file;
        this.current = inUse;
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
        EventLog.event("starting", "name", current.name(), "pid", ProcessHandle.current().pid());
        if (current.membership() != null) {
            long generation = GenerationFile.next(current.folder(), System.currentTimeMillis());
            membership =
                    MembershipService.start(
                            current.membership(),
                            generation,
                            text -> Config.address(text, "an address"),
                            new MembershipEvents());
            EventLog.event(
                    "membership",
                    "name",
                    current.name(),
                    "generation",
                    generation,
                    "address",
                    current.membership().address());
            if (!current.voters().isEmpty()) {
                consensus = ConsensusPart.start(current, generation, membership);
            }
        }
        Map<String, String> serviceEnv = new HashMap<>(env);
        serviceEnv.put(KEPT_FILES_VARIABLE, current.folder().toString());
        ProxyService service =
                ProxyService.run(
                        current.proxy(),
                        new ConfigSource(configFile, config -> reload()),
                        serviceEnv,
                        EventLog::line,
                        this::stop);
        service.listening();
        if (current.distribution() != null) {
            distribution =
                    DistributionPart.start(
                            current.name(),
                            current.distribution(),
                            new PublishedConfiguration(
                                    current.name(), settings -> apply(service, settings)),
                            new FreshnessReporter(
                                    service.figures(), () -> System.nanoTime() / NS_PER_US),
                            consensus);
        }
        EventLog.event("started", "name", current.name());
    }

    /** Reads the file again and applies the published settings over it. The service serializes the calls. */
    private Config reload() {
        DaemonFile reread = DaemonFile.reread(configFile, current);
        Config config =
                publishedSettings.isEmpty()
                        ? reread.proxy()
                        : reread.withPublished(publishedSettings);
        current = reread;
        return config;
    }

    private Optional<String> apply(ProxyService service, Map<String, byte[]> settings) {
        return Optional.ofNullable(
                service.applyConfig(
                        () -> {
                            Config config = current.withPublished(settings);
                            publishedSettings = settings;
                            return config;
                        }));
    }

    /** On SIGTERM: answers the accepted requests, then exits. */
    private void stop(ProxyService service) {
        EventLog.event("ending", "name", current.name());
        // Hand over in parallel with the drain, so that others take over leases at once.
        Thread handOverThread = new Thread(this::handOver, "hand-over");
        handOverThread.start();
        service.drain();
        try {
            handOverThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        EventLog.event("ended", "name", current.name());
        Runtime.getRuntime().halt(0);
    }

    private void handOver() {
        if (distribution != null) {
            distribution.stop();
        }
        if (consensus != null) {
            consensus.stop();
        }
        if (membership != null) {
            membership.leave();
        }
    }

    /** Logs membership changes as events. */
    private static final class MembershipEvents implements MembershipService.Listener {
        @Override
        public void changed(MemberChange change) {
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
        public void logLine(String text) {
            EventLog.line(text);
        }
    }
}
