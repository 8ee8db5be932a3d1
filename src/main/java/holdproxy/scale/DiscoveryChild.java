package holdproxy.scale;

import holdproxy.emulator.DiscoveryService;
import holdproxy.emulator.SiteRecord;
import holdproxy.harness.LoopTimeline;
import java.net.InetSocketAddress;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The emulated discovery service in a process of its own. Commands: change, down, up, stats. */
@Command(name = "discovery", hidden = true)
final class DiscoveryChild extends ChildCommand {
    static final String ZONE = "room-north";
    static final String KIND = "std-1c";

    @Option(names = "--listen", required = true, converter = AddressConverter.class)
    private InetSocketAddress listen;

    @Option(names = "--nodes", required = true)
    private int nodes;

    @Option(names = "--call-us", defaultValue = "0")
    private long callUs;

    private final LoopbackNetwork network = new LoopbackNetwork(loop, null);
    private DiscoveryService discovery;
    private long version;

    @Override
    void start() {
        // deliveries are not recorded: with thousands of watches the record would keep growing
        discovery =
                new DiscoveryService(
                        new LoopTimeline(loop),
                        new SiteRecord(),
                        callUs,
                        proxy -> true,
                        (proxy, address) -> address);
        for (int i = 0; i < nodes; i++) {
            set(i, 0);
        }
        discovery.start(network, listen);
    }

    private void set(int node, long startedMs) {
        discovery.setState(
                "node-" + node,
                LoopbackNetwork.address(1, node / 250, node % 250 + 1, 11_211),
                ZONE,
                KIND,
                "SERVING",
                startedMs);
        version++;
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        switch (words[0]) {
            case "change" -> set((int) (version % nodes), System.currentTimeMillis());
            case "down" -> discovery.setDown(true);
            case "up" -> discovery.setDown(false);
            case "stats" -> {}
            default -> throw unknownCommand(words);
        }
        answer.put("version", version);
        answer.put("connections", network.accepted());
        answer.put("read", network.readBytes());
        answer.put("written", network.writtenBytes());
    }
}
