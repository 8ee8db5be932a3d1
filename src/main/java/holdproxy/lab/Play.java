package holdproxy.lab;

import holdproxy.net.Transport;
import holdproxy.town.Auditors;
import holdproxy.town.Event;
import holdproxy.town.Service;
import holdproxy.town.ZoneReport;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * How a scenario went.
 *
 * @param scenario what was played
 * @param service how its clients were served
 * @param figures of the report, in their order
 * @param broken the rules broken, none if all is well
 * @param hash of all that happened: the same for two plays that went the same way
 */
record Play(
        Scenario scenario,
        Service service,
        Map<String, Object> figures,
        List<Auditors.Broken> broken,
        String hash) {
    static Play of(Scenario scenario) {
        return of(scenario, t -> t);
    }

    /** {@code planted} stands between the proxies and their network. */
    static Play of(Scenario scenario, UnaryOperator<Transport> planted) {
        try (Town town = new Town(scenario, planted)) {
            town.play();
            List<Event> events = town.record.events();
            List<Auditors.Broken> broken = Auditors.broken(events);
            town.logs.stream()
                    .filter(l -> l.contains(" fault: "))
                    .forEach(l -> broken.add(new Auditors.Broken("no fault", l)));
            for (ProxyProcess p : town.proxies) {
                if (p.open() != 0) {
                    broken.add(
                            new Auditors.Broken(
                                    "nothing left open",
                                    p.name
                                            + " has "
                                            + p.open()
                                            + " requests open after all clients have gone"));
                }
                if (!p.runs()) {
                    broken.add(new Auditors.Broken("runs", p.name + " does not run at the end"));
                }
            }
            Service service = new Service(events);
            Map<String, Object> figures = new LinkedHashMap<>(service.figures());
            figures.put("register_peak_load", town.register.peakLoad());
            figures.putAll(new ZoneReport(events).figures());
            return new Play(scenario, service, figures, broken, town.record.hash());
        }
    }
}
