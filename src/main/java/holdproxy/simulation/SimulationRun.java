package holdproxy.simulation;

import holdproxy.emulator.Auditors;
import holdproxy.emulator.Event;
import holdproxy.emulator.ServiceStatistics;
import holdproxy.emulator.ZoneReport;
import holdproxy.net.Transport;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * The result of a simulation run.
 *
 * @param scenario the scenario that was run
 * @param service how its clients were served
 * @param figures the report's figures, in order
 * @param broken the violated rules; empty if all rules were kept
 * @param hash hash of all recorded events: equal for two runs with the same course
 */
record SimulationRun(
        Scenario scenario,
        ServiceStatistics service,
        Map<String, Object> figures,
        List<Auditors.Violation> broken,
        String hash) {
    static SimulationRun of(Scenario scenario) {
        return of(scenario, t -> t);
    }

    /** Runs a scenario; {@code planted} is inserted between the proxies and their network. */
    static SimulationRun of(Scenario scenario, UnaryOperator<Transport> planted) {
        try (SimulatedSite site = new SimulatedSite(scenario, planted)) {
            site.run();
            List<Event> events = site.record.events();
            List<Auditors.Violation> broken = Auditors.violations(events);
            site.logs.stream()
                    .filter(l -> l.contains(" fault: "))
                    .forEach(l -> broken.add(new Auditors.Violation("no fault", l)));
            for (ProxyProcess p : site.proxies) {
                if (p.open() != 0) {
                    broken.add(
                            new Auditors.Violation(
                                    "nothing left open",
                                    p.name
                                            + " has "
                                            + p.open()
                                            + " requests open after all clients have gone"));
                }
                if (!p.isRunning()) {
                    broken.add(new Auditors.Violation("runs", p.name + " does not run at the end"));
                }
            }
            ServiceStatistics service = new ServiceStatistics(events);
            Map<String, Object> figures = new LinkedHashMap<>(service.figures());
            figures.put("register_peak_load", site.register.peakLoad());
            figures.putAll(new ZoneReport(events).figures());
            return new SimulationRun(scenario, service, figures, broken, site.record.hash());
        }
    }
}
