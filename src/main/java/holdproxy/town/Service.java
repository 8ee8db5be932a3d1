package holdproxy.town;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Statistics of how the clients of an emulated site were served, computed from its record. */
public final class Service {
    /** Counts for one second or for a sum; an operation counts in the second in which it began. */
    public static final class Second {
        public long wanted;
        public double worthWanted;
        public double worthInTime;
        public long refused;
        public long failed;
        public long attempts;
    }

    private record Operation(long us, RequestClass type, Second second, Second byClass) {}

    private static final long LONGEST_MS = 60_000;

    private final List<Second> seconds = new ArrayList<>();
    private final Map<String, Second> classes = new LinkedHashMap<>();
    private final Map<String, Long> sentTo = new TreeMap<>();
    private final Histogram servedMs = new Histogram(LONGEST_MS, 2);
    private final Second all = new Second();

    /** Evaluates a whole record. */
    public Service(List<Event> events) {
        RequestClass.ALL.forEach(c -> classes.put(c.name(), new Second()));
        Map<String, Operation> open = new HashMap<>();
        for (Event e : events) {
            Second second = second(e.us());
            switch (e.kind()) {
                case WANTED -> {
                    RequestClass type = RequestClass.named(e.word(0));
                    Operation operation =
                            new Operation(e.us(), type, second, classes.get(type.name()));
                    open.put(e.id(), operation);
                    for (Second s : List.of(all, operation.second, operation.byClass)) {
                        s.wanted++;
                        s.worthWanted += type.worth();
                    }
                }
                case ANSWERED -> answered(e, second, open);
                case ARRIVED -> {
                    second.attempts++;
                    all.attempts++;
                    sentTo.merge(e.where(), 1L, Long::sum);
                }
                default -> {}
            }
        }
    }

    private Second second(long us) {
        int at = (int) (us / 1_000_000);
        while (seconds.size() <= at) {
            seconds.add(new Second());
        }
        return seconds.get(at);
    }

    private void answered(Event e, Second second, Map<String, Operation> open) {
        if (e.id().isEmpty()) {
            return;
        } else if (!MetaLines.served(e.detail())) {
            boolean refused = e.detail().startsWith(MetaLines.BUSY);
            for (Second s : List.of(all, second)) {
                s.refused += refused ? 1 : 0;
                s.failed += refused ? 0 : 1;
            }
            return;
        }
        Operation operation = open.remove(e.want());
        if (operation != null) {
            long tookMs = (e.us() - operation.us) / 1000;
            servedMs.recordValue(Math.min(tookMs, LONGEST_MS));
            if (tookMs <= operation.type.aimMs()) {
                for (Second s : List.of(all, operation.second, operation.byClass)) {
                    s.worthInTime += operation.type.worth();
                }
            }
        }
    }

    /** Worth served within its target time divided by the worth asked for; 1 if nothing was asked for. */
    public static double share(Second s) {
        return s.worthWanted == 0 ? 1 : s.worthInTime / s.worthWanted;
    }

    /** The sums over the whole record. */
    public Second all() {
        return all;
    }

    /** The counts of each second since the start of the site's clock. */
    public List<Second> seconds() {
        return seconds;
    }

    /** {@link #share(Second)} over the whole record. */
    public double share() {
        return share(all);
    }

    /** Number of operations served, in time or late. */
    public long served() {
        return servedMs.getTotalCount();
    }

    /** The least share over any 10 consecutive seconds, or of the whole record if that is less. */
    public double worstTenSeconds() {
        double worst = share();
        for (int from = 0; from + 10 <= seconds.size(); from++) {
            Second ten = new Second();
            seconds.subList(from, from + 10)
                    .forEach(
                            s -> {
                                ten.worthWanted += s.worthWanted;
                                ten.worthInTime += s.worthInTime;
                            });
            worst = Math.min(worst, share(ten));
        }
        return worst;
    }

    /** Commands at the busiest node divided by the mean over the nodes that got any. */
    public double spread() {
        double most = sentTo.values().stream().mapToLong(n -> n).max().orElse(0);
        return most == 0 ? 1 : most * sentTo.size() / all.attempts;
    }

    /** All figures, in the order of the report. */
    public Map<String, Object> figures() {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("in_time", share());
        f.put("worst_10_s", worstTenSeconds());
        classes.forEach((name, s) -> f.put("in_time_" + name.replace('-', '_'), share(s)));
        f.put("wanted", all.wanted);
        f.put("served", served());
        f.put("refusals", all.refused);
        f.put("failures", all.failed);
        f.put("attempts_per_want", all.wanted == 0 ? 0 : (double) all.attempts / all.wanted);
        f.put("busiest_node", spread());
        f.put("served_p50_ms", servedMs.getValueAtPercentile(50));
        f.put("served_p99_ms", servedMs.getValueAtPercentile(99));
        f.put("served_p999_ms", servedMs.getValueAtPercentile(99.9));
        return f;
    }
}
