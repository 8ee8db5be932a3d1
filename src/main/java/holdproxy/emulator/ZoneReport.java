package holdproxy.emulator;

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
    /** A cold node fails when it is sent more than this multiple of what it can do within the window. */
    private static final double OVERLOAD_MULTIPLE = 4;

    private static final long OVERLOAD_WINDOW_US = 2_000_000;

    /** A zone that fell silent, and the traffic sent into it meanwhile. */
    private static final class SilentZone {
        private final String zone;
        private final long silentSinceUs;
        private long lastSendUs = -1;
        private long returnedUs = Long.MAX_VALUE;
        private long sends;
        private final Set<String> senders = new HashSet<>();

        SilentZone(String zone, long atUs) {
            this.zone = zone;
            this.silentSinceUs = atUs;
        }
    }

    /** A started node, from its {@link Event.Kind#UP}, and the work sent to it recently. */
    private static final class StartedNode {
        private final long upUs;
        private final double startSpeed;
        private final double fullSpeed;
        private final double coldUs;
        private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();
        private double recentWorkUs;

        StartedNode(Event up) {
            upUs = up.us();
            startSpeed = Double.parseDouble(up.word(0));
            fullSpeed = Double.parseDouble(up.word(1));
            coldUs = Double.parseDouble(up.word(2));
        }

        /** Adds work; returns the part of the budget that is used, or 0 once the node is warm. */
        double addToBudget(long us, double workUs) {
            double since = us - upUs;
            if (startSpeed == fullSpeed || since >= coldUs) {
                return 0;
            }
            recentWork.add(new double[] {us, workUs});
            recentWorkUs += workUs;
            while (recentWork.peek()[0] <= us - OVERLOAD_WINDOW_US) {
                recentWorkUs -= recentWork.poll()[1];
            }
            return recentWorkUs
                    / (OVERLOAD_MULTIPLE
                            * (startSpeed + (fullSpeed - startSpeed) * since / coldUs)
                            * OVERLOAD_WINDOW_US);
        }
    }

    private final Map<String, ServiceStatistics.ServiceCounts> zones = new TreeMap<>();
    private final List<SilentZone> silentZones = new ArrayList<>();
    private double coldBudgetPeak;

    /** Evaluates a whole record. */
    public ZoneReport(List<Event> events) {
        Map<String, String> zoneOf = new HashMap<>();
        Map<String, Long> wantedAt = new HashMap<>();
        Map<String, RequestClass> types = new HashMap<>();
        Map<String, StartedNode> started = new HashMap<>();
        for (Event e : events) {
            switch (e.kind()) {
                case WANTED -> {
                    RequestClass type = RequestClass.named(e.word(0));
                    String zone = e.detail().contains(" ") ? e.word(1) : "0";
                    zoneOf.put(e.id(), zone);
                    wantedAt.put(e.id(), e.us());
                    types.put(e.id(), type);
                    ServiceStatistics.ServiceCounts s =
                            zones.computeIfAbsent(zone, z -> new ServiceStatistics.ServiceCounts());
                    s.operations++;
                    s.valueRequested += type.value();
                }
                case ANSWERED -> {
                    if (!e.id().isEmpty()
                            && MetaProtocolDecoder.isServed(e.detail())
                            && wantedAt.containsKey(e.operationId())) {
                        RequestClass type = types.get(e.operationId());
                        boolean inTime =
                                (e.us() - wantedAt.remove(e.operationId())) / 1000
                                        <= type.targetMs();
                        zones.get(zoneOf.get(e.operationId())).valueServedInTime +=
                                inTime ? type.value() : 0;
                    }
                }
                case FAULT -> noteZoneFault(e);
                case LOST -> countSend(e);
                case UP -> started.put(e.host(), new StartedNode(e));
                case ARRIVED ->
                        coldBudgetPeak =
                                Math.max(
                                        coldBudgetPeak,
                                        started.get(e.host())
                                                .addToBudget(
                                                        e.us(), Double.parseDouble(e.word(2))));
                default -> {}
            }
        }
    }

    private void noteZoneFault(Event e) {
        if (e.detail().equals("silent") && e.host().startsWith("zone-")) {
            silentZones.add(new SilentZone(e.host().substring(5), e.us()));
        } else if (e.detail().equals("back")) {
            silentZones.stream()
                    .filter(l -> l.zone.equals(e.host().substring(e.host().indexOf('-') + 1)))
                    .forEach(l -> l.returnedUs = Math.min(l.returnedUs, e.us()));
        }
    }

    /** Counts a dial or message that a proxy outside sent into a silent zone. */
    private void countSend(Event e) {
        for (SilentZone l : silentZones) {
            if (!e.word(1).equals("true")
                    && l.zone.equals(e.word(2))
                    && e.us() < l.returnedUs
                    && !e.host().startsWith("proxy-")) {
                l.sends++;
                l.lastSendUs = e.us();
                l.senders.add(e.id());
            }
        }
    }

    /** All figures, in the order of the report. */
    public Map<String, Object> figures() {
        Map<String, Object> f = new LinkedHashMap<>();
        if (zones.size() > 1) {
            zones.forEach(
                    (zone, s) ->
                            f.put("in_time_zone_" + zone, ServiceStatistics.servedValueShare(s)));
        }
        for (SilentZone l : silentZones) {
            f.put(
                    "last_send_into_zone_" + l.zone + "_s",
                    l.lastSendUs < 0 ? 0.0 : (l.lastSendUs - l.silentSinceUs) / 1e6);
            f.put("sends_into_zone_" + l.zone, l.sends);
            f.put("proxies_that_sent_into_zone_" + l.zone, l.senders.size());
        }
        f.put("cold_budget_peak", coldBudgetPeak);
        return f;
    }
}
