package holdproxy.town;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Figures by zone, computed from a site's record: how the clients of each zone were served and, for each zone
 * that fell silent, how long proxies went on sending into it. Also the peak of the work sent to a cold node
 * divided by its budget, which matters when a zone returns.
 */
public final class ZoneReport {
    /** A cold node fails when it is sent more than this multiple of what it can do within {@code TIP_US}. */
    private static final double TIP = 4;

    private static final long TIP_US = 2_000_000;

    /** A zone that fell silent, and the traffic sent into it meanwhile. */
    private static final class Loss {
        private final String zone;
        private final long atUs;
        private long lastUs = -1;
        private long backUs = Long.MAX_VALUE;
        private long sends;
        private final Set<String> senders = new HashSet<>();

        Loss(String zone, long atUs) {
            this.zone = zone;
            this.atUs = atUs;
        }
    }

    /** A started node, from its {@link Event.Kind#UP}, and its work of the last {@code TIP_US}. */
    private static final class Cold {
        private final long upUs;
        private final double from;
        private final double warm;
        private final double coldUs;
        private final ArrayDeque<double[]> lately = new ArrayDeque<>();
        private double sumUs;

        Cold(Event up) {
            upUs = up.us();
            from = Double.parseDouble(up.word(0));
            warm = Double.parseDouble(up.word(1));
            coldUs = Double.parseDouble(up.word(2));
        }

        /** Adds work; returns the part of the budget that is used, or 0 once the node is warm. */
        double spent(long us, double workUs) {
            double since = us - upUs;
            if (from == warm || since >= coldUs) {
                return 0;
            }
            lately.add(new double[] {us, workUs});
            sumUs += workUs;
            while (lately.peek()[0] <= us - TIP_US) {
                sumUs -= lately.poll()[1];
            }
            return sumUs / (TIP * (from + (warm - from) * since / coldUs) * TIP_US);
        }
    }

    private final Map<String, Service.Second> zones = new TreeMap<>();
    private final List<Loss> losses = new ArrayList<>();
    private double coldPeak;

    /** Evaluates a whole record. */
    public ZoneReport(List<Event> events) {
        Map<String, String> zoneOf = new HashMap<>();
        Map<String, Long> wantedAt = new HashMap<>();
        Map<String, RequestClass> types = new HashMap<>();
        Map<String, Cold> started = new HashMap<>();
        for (Event e : events) {
            switch (e.kind()) {
                case WANTED -> {
                    RequestClass type = RequestClass.named(e.word(0));
                    String zone = e.detail().contains(" ") ? e.word(1) : "0";
                    zoneOf.put(e.id(), zone);
                    wantedAt.put(e.id(), e.us());
                    types.put(e.id(), type);
                    Service.Second s = zones.computeIfAbsent(zone, z -> new Service.Second());
                    s.wanted++;
                    s.worthWanted += type.worth();
                }
                case ANSWERED -> {
                    if (!e.id().isEmpty()
                            && MetaLines.served(e.detail())
                            && wantedAt.containsKey(e.want())) {
                        RequestClass type = types.get(e.want());
                        boolean inTime =
                                (e.us() - wantedAt.remove(e.want())) / 1000 <= type.aimMs();
                        zones.get(zoneOf.get(e.want())).worthInTime += inTime ? type.worth() : 0;
                    }
                }
                case FAULT -> fault(e);
                case LOST -> lost(e);
                case UP -> started.put(e.where(), new Cold(e));
                case ARRIVED ->
                        coldPeak =
                                Math.max(
                                        coldPeak,
                                        started.get(e.where())
                                                .spent(e.us(), Double.parseDouble(e.word(2))));
                default -> {}
            }
        }
    }

    private void fault(Event e) {
        if (e.detail().equals("silent") && e.where().startsWith("zone-")) {
            losses.add(new Loss(e.where().substring(5), e.us()));
        } else if (e.detail().equals("back")) {
            losses.stream()
                    .filter(l -> l.zone.equals(e.where().substring(e.where().indexOf('-') + 1)))
                    .forEach(l -> l.backUs = Math.min(l.backUs, e.us()));
        }
    }

    /** Counts a dial or message that a proxy outside sent into a silent zone. */
    private void lost(Event e) {
        for (Loss l : losses) {
            if (!e.word(1).equals("true")
                    && l.zone.equals(e.word(2))
                    && e.us() < l.backUs
                    && !e.where().startsWith("proxy-")) {
                l.sends++;
                l.lastUs = e.us();
                l.senders.add(e.id());
            }
        }
    }

    /** All figures, in the order of the report. */
    public Map<String, Object> figures() {
        Map<String, Object> f = new LinkedHashMap<>();
        if (zones.size() > 1) {
            zones.forEach((zone, s) -> f.put("in_time_zone_" + zone, Service.share(s)));
        }
        for (Loss l : losses) {
            f.put(
                    "last_send_into_zone_" + l.zone + "_s",
                    l.lastUs < 0 ? 0.0 : (l.lastUs - l.atUs) / 1e6);
            f.put("sends_into_zone_" + l.zone, l.sends);
            f.put("proxies_that_sent_into_zone_" + l.zone, l.senders.size());
        }
        f.put("cold_budget_peak", coldPeak);
        return f;
    }
}
