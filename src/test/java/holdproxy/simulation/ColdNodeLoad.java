package holdproxy.simulation;

import holdproxy.emulator.Event;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests of all proxies together to each cold cache node, checked against the limit of N + 2 x root of
 * N + 2 requests in the window that the settings name. N is what the settings allow the node at that
 * moment: its present speed, times the tip multiple, over the mean work of a request. A window counts if
 * more than two thirds of its requests came from proxies that had been notified of the node's start.
 */
final class ColdNodeLoad {
    private static final double TIP_MULTIPLE = 4;
    private static final long WINDOW_US = 2_000_000;
    private static final double KNOWING_PART = 2.0 / 3;

    /** The fullest window of one node that counts, by the higher of its requests and its work. */
    record Peak(String node, long us, double requests, double limit) {
        double ratio() {
            return requests / limit;
        }

        boolean broken() {
            return requests > limit;
        }
    }

    private record Arrival(long us, double meanRequests, boolean knowing) {}

    /** One start of a node, and the requests to it within the window. */
    private static final class ColdStart {
        private final Event up;
        private final double firstSpeed;
        private final double warmSpeed;
        private final long coldUs;
        private final Set<String> knowing = new HashSet<>();
        private final ArrayDeque<Arrival> window = new ArrayDeque<>();

        ColdStart(Event up) {
            this.up = up;
            firstSpeed = Double.parseDouble(up.word(0));
            warmSpeed = Double.parseDouble(up.word(1));
            coldUs = Long.parseLong(up.word(2));
        }

        boolean isCold(long us) {
            return firstSpeed < warmSpeed && us - up.us() < coldUs;
        }

        double limit(long us, double meanWorkUs) {
            double speed = firstSpeed + (warmSpeed - firstSpeed) * (us - up.us()) / coldUs;
            double allowed = TIP_MULTIPLE * speed * WINDOW_US / meanWorkUs;
            return allowed + 2 * Math.sqrt(allowed) + 2;
        }

        Peak arrived(Event arrival, double meanWorkUs) {
            double meanRequests = Double.parseDouble(arrival.word(2)) / meanWorkUs;
            boolean knows = knowing.contains(arrival.word(1));
            window.add(new Arrival(arrival.us(), meanRequests, knows));
            while (window.peek().us <= arrival.us() - WINDOW_US) {
                window.poll();
            }
            double work = window.stream().mapToDouble(Arrival::meanRequests).sum();
            long knowingCount = window.stream().filter(Arrival::knowing).count();
            boolean counts = knowingCount > KNOWING_PART * window.size();
            return new Peak(
                    arrival.host(),
                    arrival.us(),
                    counts ? Math.max(window.size(), work) : 0,
                    limit(arrival.us(), meanWorkUs));
        }
    }

    private ColdNodeLoad() {}

    /** The fullest window of each start in the record, named by the node and the time of its start. */
    static Map<String, Peak> peaks(List<Event> events, double meanWorkUs) {
        Map<String, Peak> peaks = new HashMap<>();
        Map<String, ColdStart> starts = new HashMap<>();
        for (Event event : events) {
            if (event.kind() == Event.Kind.UP) {
                starts.put(event.host(), new ColdStart(event));
            } else if (event.kind() == Event.Kind.TOLD && event.detail().startsWith("SERVING")) {
                ColdStart start = starts.get(event.id());
                if (start != null) {
                    start.knowing.add(event.host());
                }
            } else if (event.kind() == Event.Kind.ARRIVED) {
                ColdStart start = starts.get(event.host());
                if (start.isCold(event.us())) {
                    Peak peak = start.arrived(event, meanWorkUs);
                    peaks.merge(
                            event.host() + " up at " + start.up.us(),
                            peak,
                            (a, b) -> a.ratio() >= b.ratio() ? a : b);
                }
            }
        }
        return peaks;
    }
}
