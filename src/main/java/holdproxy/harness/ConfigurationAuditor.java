package holdproxy.harness;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks, from the events that processes logged, that each process put published versions into force in
 * increasing order: none twice, and no older one after a newer one. Independent of timing.
 */
final class ConfigurationAuditor {
    private static final String IN_ORDER = "versions in order";
    private static final String IN_FORCE = "configuration in force ";
    private static final String STARTING = "starting ";

    private record Version(long epoch, long number) {
        boolean isAfter(Version other) {
            return epoch > other.epoch || epoch == other.epoch && number > other.number;
        }
    }

    private ConfigurationAuditor() {}

    static List<Auditors.Violation> broken(List<Event> events) {
        List<Auditors.Violation> found = new ArrayList<>();
        Map<String, Version> inForce = new HashMap<>();
        for (Event e : events) {
            if (e.kind() != Event.Kind.SAID) {
                continue;
            }
            if (e.detail().startsWith(STARTING)) {
                inForce.remove(e.host()); // a new process has no version in force
            } else if (e.detail().startsWith(IN_FORCE)) {
                // configuration in force epoch=E number=N sections=S
                Version now = new Version(value(e, 3, "epoch="), value(e, 4, "number="));
                Version before = inForce.put(e.host(), now);
                if (before != null && !now.isAfter(before)) {
                    found.add(
                            new Auditors.Violation(
                                    IN_ORDER, before + " was in force before: " + e));
                }
            }
        }
        return found;
    }

    private static long value(Event e, int word, String key) {
        return Long.parseLong(e.word(word).substring(key.length()));
    }
}
