package holdproxy.scale;

import holdproxy.fanout.AppendResult;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Publication;
import holdproxy.fanout.Relay;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Value;
import holdproxy.fanout.transport.RelayServer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import picocli.CommandLine.Command;

/**
 * Child process of a control machine: an in-memory change log and a relay for it. Commands: commit, stats.
 */
@Command(name = "control", hidden = true)
final class ControlChild extends FanoutChild {
    /** With values of 200 bytes the state has 5 kB, the size of a configuration. */
    static final int KEYS = 25;

    /** A setting that real daemons apply; its value alternates with each change. */
    private static final String SETTING = "settings/tickMs";

    private static final long TOKEN = 1;

    private final ChangeLog log = new ChangeLog(FanoutSettings.DEFAULTS.limits());
    private RelayServer server;

    @Override
    void start() {
        log.initialize(1);
        for (int i = 0; i < KEYS; i++) {
            append(0);
        }
        server =
                new RelayServer(
                        context(),
                        new Relay.Source() {
                            @Override
                            public Replica replica() {
                                return log.replica();
                            }

                            @Override
                            public long ageUs(long nowUs) {
                                return 0;
                            }
                        });
        server.listen(topology().control());
    }

    private void append(long committedUnixUs) {
        long number = log.position().number() + 1;
        TreeMap<String, Value> puts = new TreeMap<>();
        CommitStamp stamp = new CommitStamp(number, committedUnixUs);
        puts.put(stamp.key(KEYS), stamp.value());
        puts.put(SETTING, Value.of(number % 2 == 0 ? "5.0" : "6.0"));
        AppendResult result =
                log.append(new Publication(TOKEN, "change-" + number, puts, new TreeSet<>()));
        if (!(result instanceof AppendResult.Appended)) {
            throw new IllegalStateException("the change log rejected an append: " + result);
        }
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        switch (words[0]) {
            case "commit" -> {
                long unixUs = CommitStamp.unixUs();
                append(unixUs);
                server.sourceChanged();
                answer.put("committed_us", unixUs);
            }
            case "stats" -> putCounters(answer);
            default -> throw unknownCommand(words);
        }
        answer.put("number", log.position().number());
        answer.put("in_force", server.relay().report().countInForceAtOrAfter(log.position()));
    }
}
