package holdproxy.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.emulator.Load;
import holdproxy.emulator.ServiceStatistics;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimulatedSiteTest {
    static Scenario small(long seed, Fault... faults) {
        return new Scenario("small", seed, 12, Scenario.SMALL, Scenario.PLAIN, List.of(faults));
    }

    static Fault fault(Fault.Kind kind, double atS, double forS, int target) {
        return new Fault(kind, atS, forS, 1, target, 0, 5, 0.3);
    }

    private static Scenario withFaults(long seed) {
        return small(
                seed,
                fault(Fault.Kind.CRASH, 2, 3, 1),
                fault(Fault.Kind.SLOW, 4, 0, 2),
                fault(Fault.Kind.SILENT, 5, 2, 3),
                fault(Fault.Kind.REPLACE, 6, 0, 4),
                fault(Fault.Kind.RESTART, 7, 1, 0),
                fault(Fault.Kind.RESETS, 1, 6, 5),
                fault(Fault.Kind.KILL, 9, 1, 1));
    }

    private static void keepsTheRules(SimulationRun play, double servedInTime) {
        assertEquals(List.of(), play.broken());
        assertTrue(
                play.service().servedValueShare() > servedInTime,
                "in time " + play.service().servedValueShare());
    }

    @Test
    void siteWithoutFaultsIsServedInTimeAndKeepsTheRules() {
        keepsTheRules(SimulationRun.of(small(1)), 0.99);
    }

    @Test
    void siteWithFaultsKeepsTheRules() {
        keepsTheRules(SimulationRun.of(withFaults(2)), 0.8);
    }

    @Test
    void operatorsLeaveNodesOutAndRetuneWhileProxiesComeAndGo() {
        keepsTheRules(
                SimulationRun.of(
                        small(
                                8,
                                fault(Fault.Kind.LEAVE_OUT, 2, 4, 1),
                                fault(Fault.Kind.LEAVE_OUT, 3, 5, 2),
                                fault(Fault.Kind.RETUNE, 4, 3, 0),
                                fault(Fault.Kind.RESTART, 5, 1, 0),
                                fault(Fault.Kind.KILL, 8, 1, 1))),
                0.8);
    }

    @Test
    void pausedProxyIsDetectedAndExcused() {
        SimulationRun play = SimulationRun.of(small(3, fault(Fault.Kind.HOLD, 4, 2, 0)));
        assertEquals(List.of(), play.broken());
        assertTrue(
                play.service().servedValueShare() < 0.97,
                "its clients were served although it was paused");
    }

    @Test
    void killedProxyLosesItsRequestsAndClientsReconnect() {
        SimulatedSite site = new SimulatedSite(small(4, fault(Fault.Kind.KILL, 4, 2, 0)));
        site.run();
        assertTrue(
                site.record.events().stream().anyMatch(e -> e.kind() == Event.Kind.CUT),
                "no connection was cut");
        assertEquals(List.of(), Auditors.violations(site.record.events()));
        assertTrue(new ServiceStatistics(site.record.events()).servedValueShare() > 0.8);
        site.close();
    }

    @Test
    void overloadedColdNodeFallsOver() {
        Scenario.Size weak = new Scenario.Size(1, 2, 4, 20, 4000, 30, 700, 2, 0.01, 60, 60, 40);
        Load heavy = new Load(100, 20, 20_000, 0.9, 0, List.of(1.0));
        SimulatedSite site = new SimulatedSite(new Scenario("rush", 5, 8, weak, heavy, List.of()));
        site.schedule(2, () -> site.nodes.get(0).stop("crash"));
        // listed as long up: the proxies cannot know that it is cold
        site.schedule(2.1, () -> site.nodes.get(0).startCold());
        site.run();
        assertTrue(site.record.events().stream().anyMatch(e -> e.detail().equals("falls over")));
        site.close();
    }

    @Test
    void theSameSeedGivesTheSameRunAndAnotherSeedAnother() {
        String hash = SimulationRun.of(withFaults(6)).hash();
        assertEquals(hash, SimulationRun.of(withFaults(6)).hash());
        assertNotEquals(hash, SimulationRun.of(withFaults(7)).hash());
    }
}
