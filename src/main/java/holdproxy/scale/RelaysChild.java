package holdproxy.scale;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Replica;
import holdproxy.fanout.transport.RelayServer;
import holdproxy.fanout.transport.SubscriberClient;
import holdproxy.fanout.transport.TransportContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Child process with the relays of some zones, each with its own listen address. Commands: stats. */
@Command(name = "relays", hidden = true)
final class RelaysChild extends FanoutChild {
    @Option(names = "--first", required = true)
    private int first;

    @Option(names = "--count", required = true)
    private int count;

    private final List<HollowRelay> relays = new ArrayList<>();

    @Override
    void start() {
        TransportContext context = context();
        for (int zone = first; zone < first + count; zone++) {
            relays.add(new HollowRelay(zone, context));
        }
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        if (!words[0].equals("stats")) {
            throw unknownCommand(words);
        }
        putCounters(answer);
        answer.put(
                "least_number",
                relays.stream()
                        .mapToLong(r -> r.client.subscriber().replica().position().number())
                        .min()
                        .orElse(0));
    }

    private final class HollowRelay {
        private final SubscriberClient client;
        private final RelayServer server;

        HollowRelay(int zone, TransportContext context) {
            client =
                    new SubscriberClient(
                            context,
                            "relay-" + zone,
                            new Replica(FanoutSettings.DEFAULTS.limits()),
                            (nowUs, position, state, changes) -> {
                                loop.execute(this::advanced);
                                return Optional.empty();
                            },
                            () -> server().relay().report(),
                            new Random(zone));
            server = new RelayServer(context, client.subscriber());
            server.listen(topology().relay(zone));
            client.setCandidates(topology().relayUpstreams());
        }

        private RelayServer server() {
            return server;
        }

        private void advanced() {
            server.sourceChanged();
        }
    }
}
