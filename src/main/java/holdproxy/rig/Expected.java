package holdproxy.rig;

import holdproxy.town.Event;
import java.util.List;
import java.util.function.Predicate;

/**
 * Progress that a schedule asks for: each of these processes, or one of them, says or does something, which
 * its event in the record contains.
 *
 * @param any whether one of them is enough
 * @param by who is to say it: a name, one that ends with *, or * for all
 * @param said what its event has to contain
 * @param afterS not before this, in seconds from when all processes listen
 * @param withinS how long that is awaited after the schedule's last second, in seconds
 */
record Expected(boolean any, String by, String said, double afterS, double withinS) {
    /** Whether it has come about in these processes. */
    boolean met(List<String> processes, List<Event> events, long startUs) {
        Predicate<String> hasSaid =
                p ->
                        events.stream()
                                .anyMatch(
                                        e ->
                                                e.us() >= startUs + afterS * 1e6
                                                        && (e.kind() == Event.Kind.SAID
                                                                        && e.where().equals(p)
                                                                || e.kind() == Event.Kind.ACTED
                                                                        && e.id().equals(p))
                                                        && e.detail().contains(said));
        List<String> meant = processes.stream().filter(p -> Links.matches(by, p)).toList();
        return any ? meant.stream().anyMatch(hasSaid) : meant.stream().allMatch(hasSaid);
    }
}
