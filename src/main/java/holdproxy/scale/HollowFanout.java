package holdproxy.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * A control machine, a relay for each zone, and the hollow proxies that subscribe to the relays. The first
 * zone's relay and the last {@link #SLOW_PROXIES} proxies have processes of their own, which can be killed or
 * stopped.
 */
final class HollowFanout implements AutoCloseable {
    private static final AtomicInteger NEXT_RUN = new AtomicInteger();
    private static final int MAX_PROXIES_PER_PROCESS = 3_300;
    private static final int RELAY_PROCESSES = 3;
    private static final String HEAP = "900m";
    private static final String RELAY_HEAP = "400m";

    /** Number of proxies in the process that is stopped as a slow reader. */
    static final int SLOW_PROXIES = 10;

    final FanoutTopology topology;
    final ChildProcess control;
    private final RunContext context;
    private final List<ChildProcess> relays = new ArrayList<>();
    private final List<ChildProcess> proxies = new ArrayList<>();
    private final ChildProcess slow;
    private final Map<Long, Long> committedUnixUs = new HashMap<>();
    private final RealSubscribers realSubscribers;
    private ChildProcess firstRelay;

    /** Starts {@code size} hollow proxies over {@code startOverS} seconds, and the real ones. */
    HollowFanout(RunContext context, int size, int realProxies, double startOverS)
            throws Exception {
        this.context = context;
        topology = new FanoutTopology(NEXT_RUN.getAndIncrement(), size);
        control = startChild("control", RELAY_HEAP, List.of("control"));
        control.ask("stats"); // an answer shows that it listens
        startFirstRelay();
        int others = topology.relays() - 1;
        int processes = Math.min(RELAY_PROCESSES, others);
        for (int i = 0; i < processes; i++) {
            relays.add(startRange("relays", RELAY_HEAP, 1, others, i, processes, List.of()));
        }
        relays.forEach(relay -> relay.ask("stats"));
        List<String> startOptions =
                List.of("--start-over-s", String.format(Locale.ROOT, "%.3f", startOverS));
        int many = size - SLOW_PROXIES;
        int parts = (many + MAX_PROXIES_PER_PROCESS - 1) / MAX_PROXIES_PER_PROCESS;
        for (int i = 0; i < parts; i++) {
            proxies.add(startRange("subscribers", HEAP, 0, many, i, parts, startOptions));
        }
        slow = startRange("subscribers", RELAY_HEAP, many, SLOW_PROXIES, 0, 1, startOptions);
        realSubscribers = new RealSubscribers(context, topology, realProxies);
    }

    /**
     * Starts the process for one of {@code parts} equal ranges of {@code count} numbers from {@code first}.
     */
    private ChildProcess startRange(
            String kind,
            String heap,
            int first,
            int count,
            int part,
            int parts,
            List<String> options) {
        int from = first + count * part / parts;
        int to = first + count * (part + 1) / parts;
        List<String> words =
                new ArrayList<>(List.of(kind, "--first", "" + from, "--count", "" + (to - from)));
        words.addAll(options);
        return startChild(kind + "-" + from, heap, words);
    }

    private ChildProcess startChild(String name, String heap, List<String> words) {
        List<String> all = new ArrayList<>(words);
        all.addAll(List.of("--run", "" + topology.run(), "--proxies", "" + topology.proxies()));
        return ChildProcess.start(
                "fanout-" + topology.run() + "-" + name,
                context.folder(),
                heap,
                context.reaper(),
                all.toArray(String[]::new));
    }

    void startFirstRelay() {
        firstRelay = startRange("relays", RELAY_HEAP, 0, 1, 0, 1, List.of());
        firstRelay.ask("stats");
    }

    ChildProcess firstRelay() {
        return firstRelay;
    }

    ChildProcess slow() {
        return slow;
    }

    /** The processes of all relays, with the first zone's. */
    List<ChildProcess> relays() {
        List<ChildProcess> all = new ArrayList<>(relays);
        all.add(firstRelay);
        return all;
    }

    List<ChildProcess> proxies() {
        List<ChildProcess> all = new ArrayList<>(proxies);
        all.add(slow);
        return all;
    }

    /** Commits one change; returns its number. */
    long commit() {
        JsonPart committed = control.ask("commit");
        committedUnixUs.put(committed.whole("number"), committed.whole("committed_us"));
        return committed.whole("number");
    }

    /**
     * Counters summed over hollow proxies.
     *
     * @param leastNumber lowest number of the last change in force at a proxy
     * @param mostNumber highest number of the last change in force at a proxy
     * @param received bytes of the fan-out protocol
     * @param sent bytes of the fan-out protocol
     */
    record Stats(
            long leastNumber,
            long mostNumber,
            long disorders,
            long moves,
            long snapshots,
            long rejected,
            long received,
            long sent) {}

    Stats stats() {
        return stats(proxies());
    }

    /** Counters without those of the stoppable proxies. */
    Stats statsOfOthers() {
        return stats(proxies);
    }

    private static Stats stats(List<ChildProcess> children) {
        List<JsonPart> all = ask(children, "stats");
        return new Stats(
                all.stream().mapToLong(s -> s.whole("least_number")).min().orElse(0),
                all.stream().mapToLong(s -> s.whole("most_number")).max().orElse(0),
                sum(all, s -> s.whole("disorders")),
                sum(all, s -> s.whole("moves")),
                sum(all, s -> s.whole("snapshots")),
                sum(all, s -> s.whole("rejected")),
                sum(all, s -> s.whole("received")),
                sum(all, s -> s.whole("sent")));
    }

    static List<JsonPart> ask(List<ChildProcess> children, String command) {
        children.forEach(child -> child.send(command));
        return children.stream().map(child -> child.answer(command)).toList();
    }

    static long sum(List<JsonPart> all, ToLongFunction<JsonPart> figure) {
        return all.stream().mapToLong(figure).sum();
    }

    boolean allAt(long number) {
        Stats stats = stats();
        return stats.leastNumber() == number
                && stats.mostNumber() == number
                && realSubscribers.allAt(number);
    }

    boolean othersAt(long number) {
        Stats stats = statsOfOthers();
        return stats.leastNumber() == number && stats.mostNumber() == number;
    }

    /** Latencies since the last call. */
    Histogram latencies(List<ChildProcess> children) {
        Histogram all = Latencies.histogram();
        ask(children, "latencies").forEach(a -> all.add(Latencies.decoded(a.text("histogram"))));
        return all;
    }

    /** Latencies of all changes so far at the real proxies. */
    Histogram realLatencies() {
        return realSubscribers.latencies(committedUnixUs);
    }

    RealSubscribers real() {
        return realSubscribers;
    }

    /** The processes of the proxies, without the one that can be stopped. */
    List<ChildProcess> otherProxies() {
        return List.copyOf(proxies);
    }

    /**
     * Restarts the proxies with numbers from {@code from} up to {@code to}, exclusive, without stored state.
     */
    void restart(int from, int to) {
        ask(proxies(), "restart " + from + " " + to);
    }

    static ProcessUsage usage(List<ChildProcess> children) {
        return children.stream().map(ChildProcess::usage).reduce(ProcessUsage::plus).orElseThrow();
    }

    static double heapMb(List<ChildProcess> children) {
        return ask(children, "heap").stream().mapToDouble(a -> a.number("heap_mb")).sum();
    }

    @Override
    public void close() throws Exception {
        realSubscribers.close();
        proxies().forEach(ChildProcess::close);
        relays().forEach(ChildProcess::close);
        control.close();
    }
}
