package holdproxy.rig;

import holdproxy.town.Event;
import java.util.List;
import java.util.function.Predicate;

/**
 * Progress that a schedule asks for: each of these processes, or one of them, says that something has come
 * about.
 *
 * @param any whether one of them is enough
 * @param by who is to say it: a name, one that ends with *, or * for all
 * @param said what its event has to contain
 * @param withinS how long that is awaited after the schedule's last second, in seconds
 */
record Expected(boolean any, String by, String said, double withinS) {
    /** Whether it has come about in these processes. */
    boolean met(List<String> processes, List<Event> events) {
        Predicate<String> hasSaid = p -> events.stream().anyMatch(
            e -> e.kind() == Event.Kind.SAID && e.where().equals(p) && e.detail().contains(said));
        List<String> meant = processes.stream().filter(p -> Links.matches(by, p)).toList();
        return any ? meant.stream().anyMatch(hasSaid) : meant.stream().allMatch(hasSaid);
    }
}
