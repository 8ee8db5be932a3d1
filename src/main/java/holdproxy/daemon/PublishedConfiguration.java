package holdproxy.daemon;

import holdproxy.fanout.Change;
import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.Position;
import holdproxy.fanout.Rejection;
import holdproxy.fanout.Subscriber;
import holdproxy.fanout.Value;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Puts published settings into force at this process's proxy, all of a state or nothing of it. On one event
 * loop.
 */
final class PublishedConfiguration implements Subscriber.Consumer {
    /** The proxy that settings are for. */
    interface Target {
        /** Takes its own file's settings with these in place of theirs, or says in one line why not. */
        Optional<String> take(Map<String, byte[]> published);
    }

    private final String name;
    private final Target target;
    private Map<String, Value> settings = Map.of();
    private Position inForce = Position.NONE;
    private Rejection rejection;

    PublishedConfiguration(String name, Target target) {
        this.name = name;
        this.target = target;
    }

    /** What this process has in force, for those who count. */
    CoverageReport report() {
        return CoverageReport.ofProxy(inForce, rejection);
    }

    /** Position of the last state that was taken. */
    Position inForce() {
        return inForce;
    }

    @Override
    public Optional<String> offer(
            long nowUs, Position position, SortedMap<String, Value> state, List<Change> changes) {
        Map<String, Value> offered = new TreeMap<>(state);
        offered.keySet().removeIf(key -> !PublishedSettings.isOne(key));
        Optional<String> reason = offered.equals(settings) ? Optional.empty() : take(offered);
        if (reason.isEmpty()) {
            settings = offered;
            inForce = position;
            rejection = null;
            EventLog.event(
                    "configuration in force",
                    "epoch",
                    position.epoch(),
                    "number",
                    position.number(),
                    "sections",
                    offered.size());
        } else {
            rejection = new Rejection(name, position, reason.get());
            EventLog.event(
                    "configuration rejected",
                    "epoch",
                    position.epoch(),
                    "number",
                    position.number(),
                    "why",
                    reason.get());
        }
        return reason;
    }

    private Optional<String> take(Map<String, Value> offered) {
        Map<String, byte[]> published = new TreeMap<>();
        offered.forEach((key, value) -> published.put(key, value.bytes()));
        try {
            return target.take(published);
        } catch (RuntimeException e) {
            // one state that nobody foresaw must not end the link over which the next one comes
            return Optional.of("it cannot be read: " + e);
        }
    }
}
