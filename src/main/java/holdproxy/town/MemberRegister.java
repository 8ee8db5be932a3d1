package holdproxy.town;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The slow origin behind all nodes: so many at once, the others wait in line; a write voids kept copies. */
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

    /** When a key of a write first came to any node, for as long as repeats of it are dropped. */
    private final Map<String, Long> firstUs = new HashMap<>();

    private final Map<String, String> receipts = new HashMap<>();
    private final List<CacheNode> nodes = new ArrayList<>();

    /** What came in each second. */
    private final List<Integer> came = new ArrayList<>();

    private int running;
    private long versions;

    /**
     * {@code most} at once, each of {@code workUs}; a keyed write's repeat within {@code dropRepeatsUs}
     * of its coming to a node is dropped, at whichever node and however late it gets round to it.
     */
    public MemberRegister(
            Timeline loop, TownRecord record, int most, long workUs, long dropRepeatsUs) {
        this.loop = loop;
        this.record = record;
        this.most = most;
        this.workUs = workUs;
        this.dropRepeatsUs = dropRepeatsUs;
    }

    /** Has this node's copies dropped when their values change. */
    public void knows(CacheNode node) {
        nodes.add(node);
    }

    /** Reads a value; {@code done} takes it. */
    public void fetch(String id, String key, Consumer<String> done) {
        take(new Work(id, key, null, null, done));
    }

    /** A keyed write has come to a node; returns what it and its repeats are known by. */
    public String came(String writeKey) {
        long first = firstUs.getOrDefault(writeKey, Long.MIN_VALUE / 2);
        if (loop.nowUs() - first > dropRepeatsUs) {
            first = loop.nowUs();
            firstUs.put(writeKey, first);
        }
        return writeKey + "@" + first;
    }

    /**
     * {@code writeKey}: the client's idempotency key; {@code group}: of a write whose repeats are dropped.
     */
    public void write(String id, String key, String writeKey, String group, Consumer<String> done) {
        take(new Work(id, key, writeKey, group, done));
    }

    /** The most that came in any one second, over what can be done in one. */
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
