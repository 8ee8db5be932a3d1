package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.emulator.LoadBalancer;
import holdproxy.emulator.ServiceStatistics;
import holdproxy.input.BadInput;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ZonesTest {
    private static final double LOST_AT_S = 3;

    /** Three zones of two proxies and four nodes each; the fault hits zone 1. */
    private static Scenario scenario(Fault.Kind kind, double forS, double delayMs) {
        return new Scenario(
                        "zones",
                        5,
                        14,
                        Scenario.SMALL,
                        Scenario.PLAIN,
                        kind == null
                                ? List.of()
                                : List.of(new Fault(kind, LOST_AT_S, forS, 2, 1, 0, 3, 0.2)),
                        new Scenario.ZoneLayout(3, List.of(delayMs)))
                .withSize(6, 12);
    }

    private static long lost(SimulatedSite site, String what) {
        return site.record.events().stream()
                .filter(e -> e.kind() == Event.Kind.LOST && e.word(0).equals(what))
                .count();
    }

    @ParameterizedTest
    @EnumSource(value = Fault.Kind.class, mode = EnumSource.Mode.MATCH_ANY, names = "ZONE_.*")
    void siteWithAZoneFaultKeepsTheRulesAndRecovers(Fault.Kind kind) {
        SimulationRun play = SimulationRun.of(scenario(kind, 4, 1));
        assertEquals(List.of(), play.broken());
        ServiceStatistics.ServiceCounts last = play.service().seconds().get(13);
        assertTrue(
                ServiceStatistics.servedValueShare(last) > 0.9,
                "in time in the last second " + ServiceStatistics.servedValueShare(last));
        assertNotEquals(SimulationRun.of(scenario(null, 0, 1)).hash(), play.hash());
        assertEquals(SimulationRun.of(scenario(kind, 4, 1)).hash(), play.hash());
    }

    @Test
    void silentZoneGetsRequestsOnlyUntilItIsDetected() {
        SimulationRun play = SimulationRun.of(scenario(Fault.Kind.ZONE_SILENT, 6, 1));
        double lastSendS = (double) play.figures().get("last_send_into_zone_1_s");
        assertTrue(
                lastSendS > 0 && lastSendS < 6,
                "last send into the silent zone after " + lastSendS + " s");
        assertEquals(
                4,
                play.figures().get("proxies_that_sent_into_zone_1"),
                "proxies of the two other zones");
        double worst = (double) play.figures().get("in_time_zone_1");
        assertTrue(
                worst < (double) play.figures().get("in_time_zone_0") && worst > 0.5,
                play.figures().toString());
    }

    @Test
    void aZoneThatIsCutOffServesItsOwnAndWhatIsCutIsOneDirectionOrBoth() {
        long[] lostOf = new long[3];
        Fault.Kind[] kinds = {Fault.Kind.ZONE_CUT, Fault.Kind.ZONE_CUT_IN, Fault.Kind.ZONE_CUT_OUT};
        for (int i = 0; i < kinds.length; i++) {
            try (SimulatedSite site = new SimulatedSite(scenario(kinds[i], 4, 1))) {
                site.run();
                lostOf[i] = lost(site, "message") + lost(site, "dial");
                assertTrue(lostOf[i] > 0);
                // its own nodes keep serving its own proxies
                assertTrue(
                        site.record.events().stream()
                                .anyMatch(
                                        e ->
                                                e.kind() == Event.Kind.ARRIVED
                                                        && e.us() > 5_000_000
                                                        && e.us() < 7_000_000
                                                        && node(e.host()) % 3 == 1
                                                        && node(e.word(1)) % 3 == 1),
                        "no request is served within the zone");
                // messages from other zones arrive only if just the outward direction is cut
                long in =
                        site.record.events().stream()
                                .filter(
                                        e ->
                                                e.kind() == Event.Kind.ARRIVED
                                                        && e.us() > 3_100_000
                                                        && e.us() < 7_000_000
                                                        && node(e.host()) % 3 == 1
                                                        && node(e.word(1)) % 3 != 1)
                                .count();
                assertEquals(kinds[i] == Fault.Kind.ZONE_CUT_OUT, in > 0, in + " messages got in");
            }
        }
    }

    private static int node(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    @Test
    void grayZoneDelaysMessagesButLosesNone() {
        try (SimulatedSite site = new SimulatedSite(scenario(Fault.Kind.ZONE_GRAY, 4, 1))) {
            site.run();
            assertEquals(0, lost(site, "message"));
            assertTrue(lost(site, "late") > 0);
        }
    }

    @Test
    void messagesUndeliveredByAZoneFaultAreExcused() {
        try (SimulatedSite site = new SimulatedSite(scenario(Fault.Kind.ZONE_SILENT, 4, 1))) {
            site.run();
            List<Event> events = site.record.events();
            assertEquals(List.of(), Auditors.oneAnswer(events));
            List<Event> unexcused =
                    events.stream().filter(e -> e.kind() != Event.Kind.LOST).toList();
            assertNotEquals(List.of(), Auditors.oneAnswer(unexcused));
        }
    }

    @Test
    void delayBetweenZonesAddsToLatency() {
        long near = (long) SimulationRun.of(scenario(null, 0, 0)).figures().get("served_p50_ms");
        long far = (long) SimulationRun.of(scenario(null, 0, 10)).figures().get("served_p50_ms");
        assertTrue(
                far >= near + 8,
                "median "
                        + far
                        + " ms after "
                        + near); // 20 ms for the round trip, in two of three cases
        ZoneNetwork zones = new ZoneNetwork(3, List.of(1.0, 2.0, 3.0), new SplittableRandom(1));
        assertEquals(2_000, zones.addedUs(0, 2, 500));
        assertEquals(3_000, zones.addedUs(2, 1, 500));
        assertEquals(0, zones.addedUs(1, ZoneNetwork.NOWHERE, 500));
        assertEquals(0, zones.addedUs(1, 1, 500));
    }

    @Test
    void theFrontPrefersItsZoneAndThenAnyThatIsUp() {
        LoadBalancer front = new LoadBalancer();
        for (int i = 0; i < 4; i++) {
            front.addProxy(new InetSocketAddress("127.0.0.1", 1 + i), i % 2);
            front.setInUse(i, true);
        }
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 50; i++) {
            assertEquals(1, front.pick(random, 1) % 2);
        }
        front.setInUse(1, false);
        front.setInUse(3, false);
        for (int i = 0; i < 50; i++) {
            assertEquals(0, front.pick(random, 1) % 2);
        }
    }

    @Test
    void aScenarioWithZonesIsWrittenAsItIsReadAndMistakesAreNamedWithTheirLine() {
        Scenario scenario =
                scenario(null, 0, 1.5)
                        .withFaults(
                                List.of(
                                        new Fault(Fault.Kind.ZONE_GRAY, 3, 4, 0, 1, 0, 3, 0.2),
                                        new Fault(Fault.Kind.ZONE_LOST, 3, 4, 2, 2, 0, 0, 0)));
        assertEquals(scenario, ScenarioFile.read("f", ScenarioFile.write(scenario)));
        assertBad("[town]\nzones = 3\nzone_ms = [1.0, 2.0]", "f line 3: zone_ms holds 2 figures");
        assertBad("[town]\nzones = 2\nzone_ms = [-1]", "f line 3: zone_ms holds something else");
        assertBad("[town]\nzones = 9", "f line 2: zones in [town] is not a number from 1.0 to 8.0");
        assertBad(
                "[town]\nzones = 2\n[[fault]]\nkind = \"zone_cut\"\nat_s = 1\nzone = 2",
                "f line 6: zone in");
        assertBad("[[fault]]\nkind = \"zone_lost\"\nat_s = 1", "f line 1: zone is missing");
    }

    private static void assertBad(String text, String why) {
        String said = assertThrows(BadInput.class, () -> ScenarioFile.read("f", text)).getMessage();
        assertTrue(said.startsWith(why), said);
    }
}
