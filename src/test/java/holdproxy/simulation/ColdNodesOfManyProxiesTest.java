package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.CacheNode;
import holdproxy.emulator.Event;
import holdproxy.emulator.Load;
import holdproxy.emulator.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Thirty proxies together must not overload a cold cache node under a burst: each proxy may keep within
 * its own limit while their sum exceeds the node's.
 */
class ColdNodesOfManyProxiesTest {
    private static final int PROXIES = 30;
    private static final int NODES = 24;
    private static final int ZONES = 5;
    private static final double SECONDS = 12;
    private static final double BURST_AT_S = 2.5;
    private static final double BURST = 2;

    /** Nodes that crash and come back cold, and nodes that are replaced by new ones. */
    private static final List<Integer> BACK_COLD = List.of(0, 7, 14);

    private static final List<Integer> JOINING = List.of(3, 10, 17);

    private static final Scenario.Size SIZE =
            new Scenario.Size(PROXIES, NODES, 4, 20, 4000, 30, 700, 2.5, 0.2, 20, 60, 40);
    private static final Load LOAD = new Load(420, 40, 20_000, 0.9, 2, Load.DEFAULT.clubs());

    private static double meanWorkUs() {
        return LOAD.workMs()
                * 1000
                * RequestClass.ALL.stream().mapToDouble(c -> c.share() * c.relativeWork()).sum();
    }

    /** How a node starts and what discovery publishes of it. */
    private enum Start {
        COLD {
            @Override
            void start(CacheNode node) {
                node.startCold();
            }

            @Override
            void list(SimulatedSite site, CacheNode node) {
                site.publishNodeState(node);
            }
        },

        /**
         * Listed as long up, which disables the rule for cold nodes. The node withstands any load: one
         * that fell over at N would hide how much more is sent.
         */
        LISTED_AS_WARM {
            @Override
            void start(CacheNode node) {
                node.startWarm(LOAD.keys());
            }

            @Override
            void list(SimulatedSite site, CacheNode node) {
                String zone = ZoneNetwork.names(ZONES).get(node.zone);
                site.discovery.setState(
                        node.name, node.address, zone, node.kind.name(), "SERVING", 0);
            }
        };

        abstract void start(CacheNode node);

        abstract void list(SimulatedSite site, CacheNode node);
    }

    /** The record as it would be if the nodes that started in the middle of the run were cold. */
    private static List<Event> judgedAsCold(List<Event> events) {
        return events.stream()
                .map(e -> e.kind() == Event.Kind.UP && e.us() > 0 ? coldStart(e) : e)
                .toList();
    }

    private static Event coldStart(Event up) {
        double speed = Double.parseDouble(up.word(1));
        String figures = speed * SIZE.coldFrom() + " " + speed + " " + (long) (SIZE.coldS() * 1e6);
        return new Event(up.us(), up.kind(), up.host(), up.id(), figures);
    }

    private static void comesBackCold(SimulatedSite site, int place, double atS, Start start) {
        CacheNode node = site.nodes.get(place);
        site.schedule(
                atS,
                () -> {
                    node.stop("crash");
                    site.publishNodeState(node);
                });
        site.schedule(atS + 1, () -> start.start(node));
        site.schedule(atS + 1.5, () -> start.list(site, node));
    }

    private static void joins(SimulatedSite site, int place, double atS, Start start) {
        CacheNode before = site.nodes.get(place);
        site.schedule(
                atS,
                () -> {
                    before.drain();
                    site.publishNodeState(before);
                });
        site.schedule(
                atS + 1,
                () -> {
                    before.stop("end");
                    site.publishNodeState(before);
                    CacheNode joining = site.successor(place);
                    start.start(joining);
                    site.loop.schedule(500_000, () -> start.list(site, joining));
                });
    }

    /** In the first zones most proxies get no client, and the others there several times the mean. */
    private static void loadUnevenly(SimulatedSite site) {
        int perZone = PROXIES / ZONES;
        for (int zone = 0; zone < ZONES; zone++) {
            for (int i = 1 + 2 * zone; i < perZone; i++) {
                site.proxies.get(zone + i * ZONES).setForwarding(false);
            }
        }
    }

    private static List<Event> play(long seed, boolean uneven, Start start) {
        Scenario.ZoneLayout rooms = new Scenario.ZoneLayout(ZONES, List.of(0.0));
        try (SimulatedSite site =
                new SimulatedSite(
                        new Scenario("cold", seed, SECONDS, SIZE, LOAD, List.of(), rooms))) {
            if (uneven) {
                site.schedule(0.2, () -> loadUnevenly(site));
            }
            site.schedule(
                    BURST_AT_S,
                    () -> {
                        for (int club = 0; club < LOAD.clubs().size(); club++) {
                            site.clients.setRateFactor(club, BURST);
                        }
                    });
            for (int i = 0; i < BACK_COLD.size(); i++) {
                comesBackCold(site, BACK_COLD.get(i), 1 + 0.3 * i, start);
                joins(site, JOINING.get(i), 1.1 + 0.3 * i, start);
            }
            site.run();
            return new ArrayList<>(site.record.events());
        }
    }

    private static ColdNodeLoad.Peak worst(List<Event> events) {
        Map<String, ColdNodeLoad.Peak> peaks = ColdNodeLoad.peaks(events, meanWorkUs());
        assertEquals(
                BACK_COLD.size() + JOINING.size(),
                peaks.values().stream().filter(p -> p.requests() > 0).count(),
                "some cold node got no requests from proxies that knew of its start");
        return peaks.values().stream()
                .max(Comparator.comparingDouble(ColdNodeLoad.Peak::ratio))
                .orElseThrow();
    }

    private static long busiestOverMean(List<Event> events) {
        Map<String, Long> taken =
                events.stream()
                        .filter(e -> e.kind() == Event.Kind.TAKEN)
                        .collect(Collectors.groupingBy(Event::host, Collectors.counting()));
        long most = taken.values().stream().mapToLong(n -> n).max().orElse(0);
        long all = taken.values().stream().mapToLong(n -> n).sum();
        return most * PROXIES / all;
    }

    @ParameterizedTest
    @CsvSource({"1,false", "2,false", "3,false", "1,true", "2,true", "3,true"})
    void allProxiesTogetherKeepWithinTheLimit(long seed, boolean uneven) {
        List<Event> events = play(seed, uneven, Start.COLD);
        ColdNodeLoad.Peak worst = worst(events);
        assertFalse(worst.broken(), worst.toString());
        assertTrue(
                events.stream().noneMatch(e -> e.detail().equals("falls over")),
                "a node fell over (at N in the model), which hides any further requests");
        assertTrue(!uneven || busiestOverMean(events) >= 3, "the load is not uneven");
    }

    @ParameterizedTest
    @CsvSource({"1,false", "1,true"})
    void withoutTheRuleForColdNodesTheLimitIsBroken(long seed, boolean uneven) {
        ColdNodeLoad.Peak worst = worst(judgedAsCold(play(seed, uneven, Start.LISTED_AS_WARM)));
        assertTrue(worst.broken(), worst.toString());
    }

    /** A node that stays at speed 0.5, 40 ms a request: N is 100, the limit 122. */
    private static List<Event> record(int requests, int knowing) {
        List<Event> events = new ArrayList<>();
        events.add(new Event(0, Event.Kind.UP, "s-1", "", "0.5 0.5000001 1000000000"));
        events.add(new Event(10, Event.Kind.TOLD, "proxy-0", "s-1", "SERVING"));
        for (int i = 0; i < requests; i++) {
            String proxy = i < knowing ? "proxy-0" : "proxy-1";
            events.add(
                    new Event(
                            1_000 + i * 10_000L,
                            Event.Kind.ARRIVED,
                            "s-1",
                            "r" + i,
                            "- " + proxy + " 40000"));
        }
        return events;
    }

    private static boolean broken(int requests, int knowing) {
        return ColdNodeLoad.peaks(record(requests, knowing), 40_000).values().stream()
                .anyMatch(ColdNodeLoad.Peak::broken);
    }

    @Test
    void oneRequestOverTheLimitIsFoundUnlessTooFewKnewOfTheStart() {
        assertFalse(broken(122, 122));
        assertTrue(broken(123, 123));
        assertTrue(broken(123, 83));
        assertFalse(broken(123, 82));
    }
}
