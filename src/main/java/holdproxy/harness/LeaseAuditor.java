package holdproxy.harness;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that each lease had at most one holder per token, from the acts that the guarded resource recorded
 * and the grants that processes logged. Independent of timing.
 */
final class LeaseAuditor {
    private static final String ONE_HOLDER = "one holder";

    private LeaseAuditor() {}

    static List<Auditors.Violation> broken(List<Event> events) {
        List<Auditors.Violation> found = new ArrayList<>();
        Map<String, String> holders = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ACTED) {
                long token = Long.parseLong(e.word(1));
                if (e.word(2).equals("taken") && token < highest.getOrDefault(e.word(0), 0L)) {
                    found.add(
                            new Auditors.Violation(
                                    ONE_HOLDER,
                                    "an act was accepted with a token below the highest one: "
                                            + e));
                }
                highest.merge(e.word(0), token, Math::max);
                recordHolder(holders, e.word(0) + " " + token, e.id(), e, found);
            } else if (e.kind() == Event.Kind.SAID && e.detail().startsWith("lease granted ")) {
                // lease granted role=D token=T
                String role = e.word(2).substring("role=".length());
                recordHolder(
                        holders,
                        role + " " + e.word(3).substring("token=".length()),
                        e.host(),
                        e,
                        found);
            }
        }
        return found;
    }

    private static void recordHolder(
            Map<String, String> holders,
            String grant,
            String who,
            Event e,
            List<Auditors.Violation> found) {
        String before = holders.putIfAbsent(grant, who);
        if (before != null && !before.equals(who)) {
            found.add(new Auditors.Violation(ONE_HOLDER, before + " held the same token: " + e));
        }
    }
}
