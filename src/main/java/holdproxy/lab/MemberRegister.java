package holdproxy.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The slow origin behind all nodes: so many at once, the others wait in line; a write voids kept copies. */
final class MemberRegister {
    private static final String NAME = "register";

    private record Work(String id, String key, String writeKey, boolean keyed, Consumer<String> done) {
    }

    private final VirtualLoop loop;
    private final TownRecord record;
    private final int most;
    private final long workUs;
    private final long dropRepeatsUs;
    private final ArrayDeque<Work> waiting = new ArrayDeque<>();
    private final Map<String, Long> appliedAt = new HashMap<>();
    private final Map<String, String> receipts = new HashMap<>();
    private final List<CacheNode> nodes = new ArrayList<>();
    private int running;
    private long versions;

    /**
     * {@code most} at once, each of {@code workUs}; a keyed write's repeat within {@code dropRepeatsUs}
     * is dropped.
     */
    MemberRegister(VirtualLoop loop, TownRecord record, int most, long workUs, long dropRepeatsUs) {
        this.loop = loop;
        this.record = record;
        this.most = most;
        this.workUs = workUs;
        this.dropRepeatsUs = dropRepeatsUs;
    }

    void knows(CacheNode node) {
        nodes.add(node);
    }

    void fetch(String id, String key, Consumer<String> done) {
        take(new Work(id, key, null, false, done));
    }

    /** {@code writeKey}: the client's idempotency key; {@code keyed}: its class has repeats dropped. */
    void write(String id, String key, String writeKey, boolean keyed, Consumer<String> done) {
        take(new Work(id, key, writeKey, keyed, done));
    }

    private void take(Work w) {
        if (running == most) {
            waiting.add(w);
            return;
        }
        running++;
        loop.after(workUs, () -> {
            running--;
            w.done.accept(w.writeKey == null ? "m" + ++versions : apply(w));
            if (!waiting.isEmpty()) {
                take(waiting.poll());
            }
        });
    }

    private String apply(Work w) {
        Long before = appliedAt.get(w.writeKey);
        if (w.keyed && before != null && loop.nowUs() - before <= dropRepeatsUs) {
            return receipts.get(w.writeKey);
        }
        appliedAt.put(w.writeKey, loop.nowUs());
        String receipt = "r" + ++versions;
        receipts.put(w.writeKey, receipt);
        record.add(loop.nowUs(), Event.Kind.APPLIED, NAME, w.id, w.writeKey);
        nodes.forEach(n -> n.drop(w.key));
        return receipt;
    }
}
