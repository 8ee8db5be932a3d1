package holdproxy.fanout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which positions a proxy, or all proxies below a relay, have in force. Both lists are bounded; the proxies
 * whose positions do not fit into {@code inForce} are counted at the oldest of these positions, so that
 * {@link #inForceAt} never counts too many.
 *
 * @param proxies number of proxies covered
 * @param inForce number of proxies that have each position in force, newest first
 * @param rejecting number of proxies that reject the state received last
 * @param rejections the first of these by name
 */
public record CoverageReport(
        long proxies, List<PositionCount> inForce, long rejecting, List<Rejection> rejections) {
    public static final CoverageReport EMPTY = new CoverageReport(0, List.of(), 0, List.of());

    /** The number of proxies that have this position in force. */
    public record PositionCount(Position position, long proxies) {}

    public CoverageReport {
        inForce = List.copyOf(inForce);
        rejections = List.copyOf(rejections);
    }

    /** The report of one proxy; {@code rejection} is null if it accepted the state received last. */
    public static CoverageReport ofProxy(Position inForce, Rejection rejection) {
        return new CoverageReport(
                1,
                List.of(new PositionCount(inForce, 1)),
                rejection == null ? 0 : 1,
                rejection == null ? List.of() : List.of(rejection));
    }

    /** Merges the reports into one within the limits. */
    public static CoverageReport merge(
            Collection<CoverageReport> reports, FanoutSettings.Limits limits) {
        long proxies = 0;
        long rejecting = 0;
        TreeMap<Position, Long> counts = new TreeMap<>(Comparator.reverseOrder());
        List<Rejection> rejections = new ArrayList<>();
        for (CoverageReport report : reports) {
            proxies += report.proxies;
            rejecting += report.rejecting;
            for (PositionCount count : report.inForce) {
                counts.merge(count.position, count.proxies, Long::sum);
            }
            rejections.addAll(report.rejections);
        }
        rejections.sort(Comparator.comparing(Rejection::name));
        if (rejections.size() > limits.reportedRejections()) {
            rejections = rejections.subList(0, limits.reportedRejections());
        }
        return new CoverageReport(
                proxies, mergeOldest(counts, limits.reportedPositions()), rejecting, rejections);
    }

    /** Merges the oldest of {@code counts} (newest first) into one, at the oldest position. */
    private static List<PositionCount> mergeOldest(TreeMap<Position, Long> counts, int max) {
        List<PositionCount> bounded = new ArrayList<>();
        long remainder = 0;
        for (Map.Entry<Position, Long> entry : counts.entrySet()) {
            if (bounded.size() < max - 1 || counts.size() <= max) {
                bounded.add(new PositionCount(entry.getKey(), entry.getValue()));
            } else {
                remainder += entry.getValue();
            }
        }
        if (remainder > 0) {
            bounded.add(new PositionCount(counts.lastKey(), remainder));
        }
        return bounded;
    }

    /** How many proxies have this position or a later one in force. */
    public long countInForceAtOrAfter(Position position) {
        long total = 0;
        for (PositionCount count : inForce) {
            if (!position.isAfter(count.position)) {
                total += count.proxies;
            }
        }
        return total;
    }
}
