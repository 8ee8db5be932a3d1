package holdproxy.harness;

import holdproxy.emulator.Event;
import java.util.List;
import java.util.function.Predicate;

/**
 * Progress that a schedule requires: an event with a given text in the history, from all or any of the named
 * processes.
 *
 * @param any whether an event from one of the processes is enough
 * @param by the processes: a name, a prefix with *, or * for all
 * @param text what the event has to contain
 * @param afterS earliest time of the event, in seconds after all processes listen
 * @param withinS how long to wait for it after the schedule's end, in seconds
 */
record ExpectedEvent(boolean any, String by, String text, double afterS, double withinS) {
    /** Whether {@code events} has the required events of the matching {@code processes}. */
    boolean isMet(List<String> processes, List<Event> events, long startUs) {
        Predicate<String> hasOccurred =
                p ->
                        events.stream()
                                .anyMatch(
                                        e ->
                                                e.us() >= startUs + afterS * 1e6
                                                        && (e.kind() == Event.Kind.SAID
                                                                        && e.host().equals(p)
                                                                || e.kind() == Event.Kind.ACTED
                                                                        && e.id().equals(p))
                                                        && e.detail().contains(text));
        List<String> matching = processes.stream().filter(p -> Links.matches(by, p)).toList();
        return any
                ? matching.stream().anyMatch(hasOccurred)
                : matching.stream().allMatch(hasOccurred);
    }
}
