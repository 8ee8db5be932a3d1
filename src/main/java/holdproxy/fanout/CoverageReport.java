package holdproxy.fanout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a number of proxies have in force: of one proxy, or of all below a relay. Both lists are bounded; what
 * does not fit of {@code inForce} is counted under the oldest position that is kept, so that a count is never
 * too high.
 *
 * @param proxies how many it is about
 * @param inForce how many proxies have which position in force, newest first
 * @param rejecting how many proxies reject the state that they received last
 * @param rejections the first of them by name
 */
public record CoverageReport(
        long proxies, List<PositionCount> inForce, long rejecting, List<Rejection> rejections) {
    public static final CoverageReport EMPTY = new CoverageReport(0, List.of(), 0, List.of());

    /** So many proxies have this position in force. */
    public record PositionCount(Position position, long proxies) {}

    public CoverageReport {
        inForce = List.copyOf(inForce);
        rejections = List.copyOf(rejections);
    }

    /** Of one proxy; {@code rejection}: null where it has accepted what it received last. */
    public static CoverageReport ofProxy(Position inForce, Rejection rejection) {
        return new CoverageReport(
                1,
                List.of(new PositionCount(inForce, 1)),
                rejection == null ? 0 : 1,
                rejection == null ? List.of() : List.of(rejection));
    }

    /** All of them together, within the limits. */
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
                proxies, bounded(counts, limits.reportedPositions()), rejecting, rejections);
    }

    /** {@code counts} newest first; the oldest ones become one, at the oldest position of them. */
    private static List<PositionCount> bounded(TreeMap<Position, Long> counts, int most) {
        List<PositionCount> bounded = new ArrayList<>();
        long rest = 0;
        for (Map.Entry<Position, Long> entry : counts.entrySet()) {
            if (bounded.size() < most - 1 || counts.size() <= most) {
                bounded.add(new PositionCount(entry.getKey(), entry.getValue()));
            } else {
                rest += entry.getValue();
            }
        }
        if (rest > 0) {
            bounded.add(new PositionCount(counts.lastKey(), rest));
        }
        return bounded;
    }

    /** How many proxies have this position or a later one in force. */
    public long inForceAt(Position position) {
        long proxiesThere = 0;
        for (PositionCount count : inForce) {
            if (!position.isAfter(count.position)) {
                proxiesThere += count.proxies;
            }
        }
        return proxiesThere;
    }
}
