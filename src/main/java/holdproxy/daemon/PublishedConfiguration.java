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
 * Applies published settings to this process's proxy, each state as a whole or not at all. Confined to one
 * event loop.
 */
final class PublishedConfiguration implements Subscriber.Consumer {
    /** The proxy that the settings are applied to. */
    interface Target {
        /** Applies these settings over those of its own file; on failure returns a one-line reason. */
        Optional<String> apply(Map<String, byte[]> published);
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

    /** The version this process has in force, for the coverage counts. */
    CoverageReport report() {
        return CoverageReport.ofProxy(inForce, rejection);
    }

    /** Position of the last state applied. */
    Position inForce() {
        return inForce;
    }

    @Override
    public Optional<String> offer(
            long nowUs, Position position, SortedMap<String, Value> state, List<Change> changes) {
        Map<String, Value> offered = new TreeMap<>(state);
        offered.keySet().removeIf(key -> !PublishedSettings.isSettingKey(key));
        Optional<String> reason = offered.equals(settings) ? Optional.empty() : apply(offered);
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

    private Optional<String> apply(Map<String, Value> offered) {
        Map<String, byte[]> published = new TreeMap<>();
        offered.forEach((key, value) -> published.put(key, value.bytes()));
        try {
            return target.apply(published);
        } catch (RuntimeException e) {
            // An unexpected failure must not close the link, which also delivers the next state.
            return Optional.of("cannot be applied: " + e);
        }
    }
}
