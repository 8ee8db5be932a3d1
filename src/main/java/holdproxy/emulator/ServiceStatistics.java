package holdproxy.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Statistics of how the clients of an emulated site were served, computed from its record. */
public final class ServiceStatistics {
    /** Counts for one second or for a sum; an operation counts in the second in which it began. */
    public static final class ServiceCounts {
        public long operations;
        public double valueRequested;
        public double valueServedInTime;
        public long refused;
        public long failed;
        public long attempts;
    }

    private record Operation(
            long us, RequestClass type, ServiceCounts second, ServiceCounts byClass) {}

    private static final long LONGEST_MS = 60_000;

    private final List<ServiceCounts> seconds = new ArrayList<>();
    private final Map<String, ServiceCounts> classes = new LinkedHashMap<>();
    private final Map<String, Long> sentTo = new TreeMap<>();
    private final Histogram servedMs = new Histogram(LONGEST_MS, 2);
    private final ServiceCounts all = new ServiceCounts();

    /** Evaluates a whole record. */
    public ServiceStatistics(List<Event> events) {
        RequestClass.ALL.forEach(c -> classes.put(c.name(), new ServiceCounts()));
        Map<String, Operation> open = new HashMap<>();
        for (Event e : events) {
            ServiceCounts second = second(e.us());
            switch (e.kind()) {
                case WANTED -> {
                    RequestClass type = RequestClass.named(e.word(0));
                    Operation operation =
                            new Operation(e.us(), type, second, classes.get(type.name()));
                    open.put(e.id(), operation);
                    for (ServiceCounts s : List.of(all, operation.second, operation.byClass)) {
                        s.operations++;
                        s.valueRequested += type.value();
                    }
                }
                case ANSWERED -> answered(e, second, open);
                case ARRIVED -> {
                    second.attempts++;
                    all.attempts++;
                    sentTo.merge(e.host(), 1L, Long::sum);
                }
                default -> {}
            }
        }
    }

    private ServiceCounts second(long us) {
        int at = (int) (us / 1_000_000);
        while (seconds.size() <= at) {
            seconds.add(new ServiceCounts());
        }
        return seconds.get(at);
    }

    private void answered(Event e, ServiceCounts second, Map<String, Operation> open) {
        if (e.id().isEmpty()) {
            return;
        } else if (!MetaProtocolDecoder.isServed(e.detail())) {
            boolean refused = e.detail().startsWith(MetaProtocolDecoder.BUSY);
            for (ServiceCounts s : List.of(all, second)) {
                s.refused += refused ? 1 : 0;
                s.failed += refused ? 0 : 1;
            }
            return;
        }
        Operation operation = open.remove(e.operationId());
        if (operation != null) {
            long tookMs = (e.us() - operation.us) / 1000;
            servedMs.recordValue(Math.min(tookMs, LONGEST_MS));
            if (tookMs <= operation.type.targetMs()) {
                for (ServiceCounts s : List.of(all, operation.second, operation.byClass)) {
                    s.valueServedInTime += operation.type.value();
                }
            }
        }
    }

    /** Worth served within its target time divided by the worth asked for; 1 if nothing was asked for. */
    public static double servedValueShare(ServiceCounts s) {
        return s.valueRequested == 0 ? 1 : s.valueServedInTime / s.valueRequested;
    }

    /** The sums over the whole record. */
    public ServiceCounts all() {
        return all;
    }

    /** The counts of each second since the start of the site's clock. */
    public List<ServiceCounts> seconds() {
        return seconds;
    }

    /** {@link #servedValueShare(ServiceCounts)} over the whole record. */
    public double servedValueShare() {
        return servedValueShare(all);
    }

    /** Number of operations served, in time or late. */
    public long operationsServed() {
        return servedMs.getTotalCount();
    }

    /** The least share over any 10 consecutive seconds, or of the whole record if that is less. */
    public double worstTenSeconds() {
        double worst = servedValueShare();
        for (int from = 0; from + 10 <= seconds.size(); from++) {
            ServiceCounts ten = new ServiceCounts();
            seconds.subList(from, from + 10)
                    .forEach(
                            s -> {
                                ten.valueRequested += s.valueRequested;
                                ten.valueServedInTime += s.valueServedInTime;
                            });
            worst = Math.min(worst, servedValueShare(ten));
        }
        return worst;
    }

    /** Commands at the busiest node divided by the mean over the nodes that got any. */
    public double busiestNodeRatio() {
        double most = sentTo.values().stream().mapToLong(n -> n).max().orElse(0);
        return most == 0 ? 1 : most * sentTo.size() / all.attempts;
    }

    /** All figures, in the order of the report. */
    public Map<String, Object> figures() {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("in_time", servedValueShare());
        f.put("worst_10_s", worstTenSeconds());
        classes.forEach(
                (name, s) -> f.put("in_time_" + name.replace('-', '_'), servedValueShare(s)));
        f.put("wanted", all.operations);
        f.put("served", operationsServed());
        f.put("refusals", all.refused);
        f.put("failures", all.failed);
        f.put(
                "attempts_per_want",
                all.operations == 0 ? 0 : (double) all.attempts / all.operations);
        f.put("busiest_node", busiestNodeRatio());
        f.put("served_p50_ms", servedMs.getValueAtPercentile(50));
        f.put("served_p99_ms", servedMs.getValueAtPercentile(99));
        f.put("served_p999_ms", servedMs.getValueAtPercentile(99.9));
        return f;
    }
}
