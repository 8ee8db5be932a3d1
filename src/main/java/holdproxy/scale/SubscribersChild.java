package holdproxy.scale;

import holdproxy.fanout.Change;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Position;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Subscriber;
import holdproxy.fanout.SubscriberStatus;
import holdproxy.fanout.Value;
import holdproxy.fanout.transport.SubscriberClient;
import holdproxy.fanout.transport.TransportContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Child process with thousands of hollow proxies that subscribe to the fan-out, each with a connection and
 * the real subscriber. Counts updates that are repeated, out of order or skipped. Commands: stats, latencies,
 * restart.
 */
@Command(name = "subscribers", hidden = true)
final class SubscribersChild extends FanoutChild {
    private static final long US_PER_S = 1_000_000;

    @Option(names = "--first", required = true)
    private int first;

    @Option(names = "--count", required = true)
    private int count;

    @Option(names = "--start-over-s", defaultValue = "0")
    private double startOverS;

    private final List<HollowProxy> proxies = new ArrayList<>();
    private TransportContext context;
    private Histogram inForce = Latencies.histogram();
    private long disorders;
    private long endedMoves;

    @Override
    void start() {
        context = context();
        for (int i = 0; i < count; i++) {
            proxies.add(new HollowProxy(first + i));
        }
        proxies.forEach(
                each ->
                        loop.schedule(
                                each::start,
                                (long) ((each.number - first) * startOverS * US_PER_S / count),
                                TimeUnit.MICROSECONDS));
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        switch (words[0]) {
            case "stats" -> stats(answer);
            case "latencies" -> {
                answer.put("histogram", Latencies.encoded(inForce));
                inForce = Latencies.histogram();
            }
            case "restart" -> {
                int from = Integer.parseInt(words[1]);
                int to = Integer.parseInt(words[2]);
                for (int i = 0; i < proxies.size(); i++) {
                    HollowProxy each = proxies.get(i);
                    if (each.number >= from && each.number < to) {
                        proxies.set(i, each.restart());
                    }
                }
            }
            default -> throw unknownCommand(words);
        }
    }

    private void stats(Map<String, Object> answer) {
        putCounters(answer);
        answer.put(
                "least_number",
                proxies.stream().mapToLong(p -> p.inForce().number()).min().orElse(0));
        answer.put(
                "most_number",
                proxies.stream().mapToLong(p -> p.inForce().number()).max().orElse(0));
        answer.put("disorders", disorders);
        answer.put("moves", endedMoves + sum(SubscriberStatus::moves));
        answer.put("snapshots", sum(SubscriberStatus::snapshots));
        answer.put("gaps", sum(SubscriberStatus::gaps));
        answer.put("rejected", sum(SubscriberStatus::rejected));
    }

    private long sum(ToLongFunction<SubscriberStatus> figure) {
        return proxies.stream().mapToLong(p -> figure.applyAsLong(p.status())).sum();
    }

    private final class HollowProxy implements Subscriber.Consumer {
        private final int number;
        private final SubscriberClient client;
        private final DeliveryCheck check = new DeliveryCheck();

        HollowProxy(int number) {
            this.number = number;
            client =
                    new SubscriberClient(
                            context,
                            "proxy-" + number,
                            new Replica(FanoutSettings.DEFAULTS.limits()),
                            this,
                            null,
                            new Random(number));
        }

        void start() {
            FanoutTopology topology = topology();
            client.setCandidates(topology.proxyUpstreams("proxy-" + number, topology.zone(number)));
        }

        /** Simulates a restart of the proxy's process, without stored state. */
        HollowProxy restart() {
            endedMoves += status().moves();
            client.close();
            HollowProxy next = new HollowProxy(number);
            next.start();
            return next;
        }

        Position inForce() {
            return check.last();
        }

        SubscriberStatus status() {
            return client.subscriber().status(context.nowUs().getAsLong());
        }

        @Override
        public Optional<String> offer(
                long nowUs,
                Position position,
                SortedMap<String, Value> state,
                List<Change> changes) {
            long unixUs = CommitStamp.unixUs();
            long before = check.last().number();
            if (!check.accept(position, changes)) {
                disorders++;
            }
            if (changes.isEmpty()) {
                recordLatencies(before, state, unixUs);
            } else {
                changes.forEach(change -> recordLatencies(before, change.puts(), unixUs));
            }
            return Optional.empty();
        }

        /**
         * Records latencies, but not of the first state after a start, which may be older than the process.
         */
        private void recordLatencies(long before, SortedMap<String, Value> values, long unixUs) {
            values.forEach(
                    (key, value) -> {
                        if (before > 0 && CommitStamp.isStampKey(key)) {
                            CommitStamp stamp = CommitStamp.of(value);
                            if (stamp.number() > before) {
                                Latencies.record(inForce, unixUs - stamp.committedUnixUs());
                            }
                        }
                    });
        }
    }
}
