package holdproxy.scale;

import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.RendezvousOrder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Addresses and zones of a fan-out measurement: one control machine, a relay for each zone, and the proxies,
 * assigned to zones in order of their numbers.
 *
 * @param run number of the measurement, so that no two use the same addresses
 * @param proxies number of hollow proxies
 */
record FanoutTopology(int run, int proxies) {
    /** As many as in the target fleet: 13,000 proxies in 94 zones. */
    static final int PROXIES_PER_ZONE = 138;

    static final String CONTROL = "control";
    private static final int FIRST_NETWORK = 64;
    private static final int HOSTS_PER_NETWORK = 250;
    private static final int RELAYS_PER_PROXY = 4;

    int relays() {
        return Math.max(2, (proxies + PROXIES_PER_ZONE - 1) / PROXIES_PER_ZONE);
    }

    int zone(int proxy) {
        return Math.min(relays() - 1, proxy / PROXIES_PER_ZONE);
    }

    InetSocketAddress control() {
        return LoopbackNetwork.address(FIRST_NETWORK + run, 255, 1, Port.RELAYS.number());
    }

    InetSocketAddress relay(int zone) {
        return LoopbackNetwork.address(
                FIRST_NETWORK + run,
                zone / HOSTS_PER_NETWORK,
                zone % HOSTS_PER_NETWORK + 1,
                Port.RELAYS.number());
    }

    static String zoneName(int zone) {
        return "zone-" + zone;
    }

    List<RelayCandidate> relayUpstreams() {
        return List.of(new RelayCandidate(CONTROL, HollowWatches.addressText(control()), ""));
    }

    /** Relays for a proxy: its own zone's first, then those of the following zones in rendezvous order. */
    List<RelayCandidate> proxyUpstreams(String name, int zone) {
        List<RelayCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < Math.min(RELAYS_PER_PROXY, relays()); i++) {
            int other = (zone + i) % relays();
            candidates.add(
                    new RelayCandidate(
                            "relay-" + other,
                            HollowWatches.addressText(relay(other)),
                            zoneName(other)));
        }
        return RendezvousOrder.of(name, zoneName(zone), candidates);
    }
}
