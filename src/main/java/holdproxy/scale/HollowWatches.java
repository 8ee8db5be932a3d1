package holdproxy.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** An emulated discovery service and the hollow proxies that watch it, in child processes. */
final class HollowWatches implements AutoCloseable {
    private static final int MAX_WATCHES_PER_PROCESS = 3_300;
    private static final String HEAP = "900m";

    /** A new address for each instance, since the connections of the last may still be in TIME_WAIT. */
    private static final AtomicInteger NEXT_NUMBER = new AtomicInteger(2);

    final ChildProcess discovery;
    private final List<ChildProcess> hollow = new ArrayList<>();

    HollowWatches(RunContext context, int watches, int nodes, double startOverS) {
        int number = NEXT_NUMBER.getAndIncrement();
        InetSocketAddress address = LoopbackNetwork.address(0, 1, number, Port.DISCOVERY.number());
        discovery =
                ChildProcess.start(
                        "discovery-" + number,
                        context.folder(),
                        HEAP,
                        context.reaper(),
                        "discovery",
                        "--listen",
                        addressText(address),
                        "--nodes",
                        Integer.toString(nodes));
        discovery.ask("stats"); // an answer shows that it listens
        int processes = (watches + MAX_WATCHES_PER_PROCESS - 1) / MAX_WATCHES_PER_PROCESS;
        for (int i = 0; i < processes; i++) {
            int count = watches * (i + 1) / processes - watches * i / processes;
            hollow.add(
                    ChildProcess.start(
                            "watches-" + number + "-" + i,
                            context.folder(),
                            HEAP,
                            context.reaper(),
                            "watches",
                            "--discovery",
                            addressText(address),
                            "--local",
                            addressText(LoopbackNetwork.address(2, number, i + 1, 0)),
                            "--count",
                            Integer.toString(count),
                            "--start-over-s",
                            String.format(Locale.ROOT, "%.3f", startOverS)));
        }
    }

    static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Counters summed over all hollow processes. */
    record Stats(
            long leastVersion,
            long mostVersion,
            long lists,
            long entries,
            long failures,
            long disorders,
            long bytes) {}

    Stats stats() {
        hollow.forEach(child -> child.send("stats"));
        List<JsonPart> all = hollow.stream().map(child -> child.answer("stats")).toList();
        return new Stats(
                all.stream().mapToLong(s -> s.whole("least_version")).min().orElse(0),
                all.stream().mapToLong(s -> s.whole("most_version")).max().orElse(0),
                sum(all, s -> s.whole("lists")),
                sum(all, s -> s.whole("entries")),
                sum(all, s -> s.whole("failures")),
                sum(all, s -> s.whole("disorders")),
                sum(all, s -> s.whole("read") + s.whole("written")));
    }

    private static long sum(List<JsonPart> all, ToLongFunction<JsonPart> figure) {
        return all.stream().mapToLong(figure).sum();
    }

    /** Whether every watch holds exactly this version. */
    boolean allAt(long version) {
        Stats stats = stats();
        return stats.leastVersion() == version && stats.mostVersion() == version;
    }

    /** Restarts every watch without a list, as a restarted proxy has none. */
    void restartAll() {
        hollow.forEach(child -> child.send("again"));
        hollow.forEach(child -> child.answer("again"));
    }

    void latencies(Histogram into) {
        for (ChildProcess child : hollow) {
            into.add(Latencies.decoded(child.ask("latencies").text("histogram")));
        }
    }

    ProcessUsage usage() {
        return hollow.stream().map(ChildProcess::usage).reduce(ProcessUsage::plus).orElseThrow();
    }

    /** Heap use of the hollow processes, after a garbage collection. */
    double heapMb() {
        return hollow.stream().mapToDouble(child -> child.ask("heap").number("heap_mb")).sum();
    }

    int processes() {
        return hollow.size();
    }

    @Override
    public void close() {
        hollow.forEach(ChildProcess::close);
        discovery.close();
    }
}
