package holdproxy.emulator;

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
public final class Origin {
    private static final String NAME = "register";

    private record Request(
            String id, String key, String writeKey, String group, Consumer<String> done) {}

    private final Scheduler loop;
    private final SiteRecord record;
    private final int slots;
    private final long workUs;
    private final long dropRepeatsUs;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();

    /** When a write's idempotency key first arrived at any node, within the window that drops repeats. */
    private final Map<String, Long> firstArrivalUs = new HashMap<>();

    private final Map<String, String> receipts = new HashMap<>();
    private final List<CacheNode> nodes = new ArrayList<>();

    /** Number of requests that arrived in each second. */
    private final List<Integer> arrivalsPerSecond = new ArrayList<>();

    private int running;
    private long versions;

    /**
     * Creates an origin that runs {@code slots} requests at once, each for {@code workUs}. A keyed write's
     * repeat is dropped if it arrives at any node within {@code dropRepeatsUs} of the first arrival, however
     * late it gets to the origin.
     */
    public Origin(Scheduler loop, SiteRecord record, int slots, long workUs, long dropRepeatsUs) {
        this.loop = loop;
        this.record = record;
        this.slots = slots;
        this.workUs = workUs;
        this.dropRepeatsUs = dropRepeatsUs;
    }

    /** Adds a node whose cached copies are invalidated by writes. */
    public void addNode(CacheNode node) {
        nodes.add(node);
    }

    /** Reads a value and passes it to {@code done}. */
    public void fetch(String id, String key, Consumer<String> done) {
        submit(new Request(id, key, null, null, done));
    }

    /** Notes that a keyed write arrived at a node; returns the group that it shares with its repeats. */
    public String groupOnArrival(String writeKey) {
        long first = firstArrivalUs.getOrDefault(writeKey, Long.MIN_VALUE / 2);
        if (loop.nowUs() - first > dropRepeatsUs) {
            first = loop.nowUs();
            firstArrivalUs.put(writeKey, first);
        }
        return writeKey + "@" + first;
    }

    /**
     * Applies a write and passes its receipt to {@code done}.
     *
     * @param writeKey the client's idempotency key
     * @param group from {@link #groupOnArrival(String)} for a write whose repeats are dropped, else null
     */
    public void write(String id, String key, String writeKey, String group, Consumer<String> done) {
        submit(new Request(id, key, writeKey, group, done));
    }

    /** The most requests that arrived in any second, divided by the capacity per second. */
    public double peakLoad() {
        double perS = slots * 1e6 / workUs;
        return arrivalsPerSecond.stream().mapToInt(n -> n).max().orElse(0) / perS;
    }

    private void countArrival() {
        int second = (int) (loop.nowUs() / 1_000_000);
        while (arrivalsPerSecond.size() <= second) {
            arrivalsPerSecond.add(0);
        }
        arrivalsPerSecond.set(second, arrivalsPerSecond.get(second) + 1);
    }

    private void submit(Request request) {
        countArrival();
        runOrQueue(request);
    }

    private void runOrQueue(Request request) {
        if (running == slots) {
            waiting.add(request);
            return;
        }
        running++;
        loop.schedule(
                workUs,
                () -> {
                    running--;
                    request.done.accept(
                            request.writeKey == null ? "m" + ++versions : apply(request));
                    if (!waiting.isEmpty()) {
                        runOrQueue(waiting.poll());
                    }
                });
    }

    private String apply(Request request) {
        if (request.group != null && receipts.containsKey(request.group)) {
            return receipts.get(request.group);
        }
        String receipt = "r" + ++versions;
        if (request.group != null) {
            receipts.put(request.group, receipt);
        }
        record.add(loop.nowUs(), Event.Kind.APPLIED, NAME, request.id, request.writeKey);
        nodes.forEach(n -> n.invalidate(request.key));
        return receipt;
    }
}
