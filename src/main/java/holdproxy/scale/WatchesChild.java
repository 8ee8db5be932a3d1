package holdproxy.scale;

import holdproxy.emulator.ProxyConfig;
import holdproxy.net.Config;
import holdproxy.net.DiscoveryWatch;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Child process with thousands of hollow proxies that watch discovery, each with a connection and the real
 * watch. A watch that ends is opened again after a random delay. Commands: stats, latencies, again.
 */
@Command(name = "watches", hidden = true)
final class WatchesChild extends ChildCommand {
    /** Stands in for the delay of the decision module, which depends on the number of proxies. */
    private static final long MAX_RETRY_DELAY_US = 2_000_000;

    private static final long US_PER_S = 1_000_000;

    @Option(names = "--discovery", required = true, converter = AddressConverter.class)
    private InetSocketAddress discovery;

    @Option(names = "--local", required = true, converter = AddressConverter.class)
    private InetSocketAddress local;

    @Option(names = "--count", required = true)
    private int count;

    @Option(names = "--start-over-s", defaultValue = "0")
    private double startOverS;

    private final List<HollowWatch> watches = new ArrayList<>();
    private final Random random = new Random(1);
    private Histogram inForce = Latencies.histogram();
    private LoopbackNetwork network;
    private Config config;
    private long lists;
    private long entries;
    private long failures;
    private long disorders;

    @Override
    void start() {
        network = new LoopbackNetwork(loop, local);
        config =
                Config.of(
                        "hollow",
                        local,
                        discovery,
                        new ProxyConfig(
                                        0,
                                        1,
                                        0,
                                        List.of(DiscoveryChild.ZONE),
                                        1,
                                        1,
                                        List.of(1.0),
                                        1)
                                .json(
                                        "hollow",
                                        1,
                                        ProxyConfig.EMPTY_NODE_LIST,
                                        ProxyConfig.MAX_ATTEMPTS));
        startAll();
    }

    private void startAll() {
        for (int i = 0; i < count; i++) {
            HollowWatch watch = new HollowWatch();
            watches.add(watch);
            loop.schedule(
                    watch.watch::open,
                    (long) (i * startOverS * US_PER_S / count),
                    TimeUnit.MICROSECONDS);
        }
    }

    private static long unixUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * US_PER_S + now.getNano() / 1000;
    }

    private final class HollowWatch implements DiscoveryWatch.Listener {
        private final DiscoveryWatch watch;
        private long version;
        private boolean closed;

        HollowWatch() {
            watch = new DiscoveryWatch(config, network, WatchesChild::unixUs, line -> {}, this);
        }

        private void end() {
            closed = true;
            watch.close();
        }

        @Override
        public void onList(boolean whole, long now, int changes, long lastStartedUnixUs) {
            lists++;
            entries += changes;
            if (version + changes != now) {
                disorders++;
            }
            version = now;
            if (lastStartedUnixUs > 0) {
                Latencies.record(inForce, unixUs() - lastStartedUnixUs);
            }
        }

        @Override
        public void onFailure() {
            if (closed) {
                return;
            }
            failures++;
            loop.schedule(
                    watch::open, random.nextInt((int) MAX_RETRY_DELAY_US), TimeUnit.MICROSECONDS);
        }
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        switch (words[0]) {
            case "latencies" -> {
                answer.put("histogram", Latencies.encoded(inForce));
                inForce = Latencies.histogram();
            }
            case "again" -> {
                watches.forEach(HollowWatch::end);
                watches.clear();
                startAll();
            }
            case "stats" -> {
                answer.put(
                        "least_version",
                        watches.stream().mapToLong(w -> w.version).min().orElse(0));
                answer.put(
                        "most_version", watches.stream().mapToLong(w -> w.version).max().orElse(0));
                answer.put("lists", lists);
                answer.put("entries", entries);
                answer.put("failures", failures);
                answer.put("disorders", disorders);
                answer.put("read", network.readBytes());
                answer.put("written", network.writtenBytes());
            }
            default -> throw unknownCommand(words);
        }
    }
}
