package holdproxy.town;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The emulated origin behind all nodes, the member register: a limited number of requests run at once, the
 * others queue; a write invalidates the cached copies.
 */
public final class MemberRegister {
    private static final String NAME = "register";

    private record Work(
            String id, String key, String writeKey, String group, Consumer<String> done) {}

    private final Timeline loop;
    private final TownRecord record;
    private final int most;
    private final long workUs;
    private final long dropRepeatsUs;
    private final ArrayDeque<Work> waiting = new ArrayDeque<>();

    /** When a write's idempotency key first arrived at any node, within the window that drops repeats. */
    private final Map<String, Long> firstUs = new HashMap<>();

    private final Map<String, String> receipts = new HashMap<>();
    private final List<CacheNode> nodes = new ArrayList<>();

    /** Number of requests that arrived in each second. */
    private final List<Integer> came = new ArrayList<>();

    private int running;
    private long versions;

    /**
     * Creates an origin that runs {@code most} requests at once, each for {@code workUs}. A keyed write's
     * repeat is dropped if it arrives at any node within {@code dropRepeatsUs} of the first arrival, however
     * late it gets to the origin.
     */
    public MemberRegister(
            Timeline loop, TownRecord record, int most, long workUs, long dropRepeatsUs) {
        this.loop = loop;
        this.record = record;
        this.most = most;
        this.workUs = workUs;
        this.dropRepeatsUs = dropRepeatsUs;
    }

    /** Adds a node whose cached copies are invalidated by writes. */
    public void knows(CacheNode node) {
        nodes.add(node);
    }

    /** Reads a value and passes it to {@code done}. */
    public void fetch(String id, String key, Consumer<String> done) {
        take(new Work(id, key, null, null, done));
    }

    /** Notes that a keyed write arrived at a node; returns the group that it shares with its repeats. */
    public String came(String writeKey) {
        long first = firstUs.getOrDefault(writeKey, Long.MIN_VALUE / 2);
        if (loop.nowUs() - first > dropRepeatsUs) {
            first = loop.nowUs();
            firstUs.put(writeKey, first);
        }
        return writeKey + "@" + first;
    }

    /**
     * Applies a write and passes its receipt to {@code done}.
     *
     * @param writeKey the client's idempotency key
     * @param group from {@link #came(String)} for a write whose repeats are dropped, else null
     */
    public void write(String id, String key, String writeKey, String group, Consumer<String> done) {
        take(new Work(id, key, writeKey, group, done));
    }

    /** The most requests that arrived in any second, divided by the capacity per second. */
    public double peakLoad() {
        double perS = most * 1e6 / workUs;
        return came.stream().mapToInt(n -> n).max().orElse(0) / perS;
    }

    private void came() {
        int second = (int) (loop.nowUs() / 1_000_000);
        while (came.size() <= second) {
            came.add(0);
        }
        came.set(second, came.get(second) + 1);
    }

    private void take(Work w) {
        came();
        start(w);
    }

    private void start(Work w) {
        if (running == most) {
            waiting.add(w);
            return;
        }
        running++;
        loop.after(
                workUs,
                () -> {
                    running--;
                    w.done.accept(w.writeKey == null ? "m" + ++versions : apply(w));
                    if (!waiting.isEmpty()) {
                        start(waiting.poll());
                    }
                });
    }

    private String apply(Work w) {
        if (w.group != null && receipts.containsKey(w.group)) {
            return receipts.get(w.group);
        }
        String receipt = "r" + ++versions;
        if (w.group != null) {
            receipts.put(w.group, receipt);
        }
        record.add(loop.nowUs(), Event.Kind.APPLIED, NAME, w.id, w.writeKey);
        nodes.forEach(n -> n.drop(w.key));
        return receipt;
    }
}
