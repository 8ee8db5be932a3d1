package holdproxy.scale;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.transport.TransportContext;
import holdproxy.fanout.transport.TransportCounters;
import holdproxy.net.Config;
import java.util.Map;
import picocli.CommandLine.Option;

/** Base of the child processes of a fan-out measurement. */
abstract class FanoutChild extends ChildCommand {
    @Option(names = "--run", required = true)
    private int run;

    @Option(names = "--proxies", required = true)
    private int proxies;

    private final TransportCounters counters = new TransportCounters();
    private final long startNs = System.nanoTime();

    final FanoutTopology topology() {
        return new FanoutTopology(run, proxies);
    }

    final TransportContext context() {
        return new TransportContext(
                loop,
                FanoutSettings.DEFAULTS,
                () -> (System.nanoTime() - startNs) / 1000,
                text -> Config.address(text, "an address"),
                counters,
                line -> {});
    }

    final void putCounters(Map<String, Object> answer) {
        TransportCounters.Snapshot now = counters.snapshot();
        answer.put("received", now.bytesReceived());
        answer.put("sent", now.bytesSent());
        answer.put("messages", now.messagesSent());
        answer.put("open", now.connectionsOpen());
        answer.put("dropped", now.messagesDropped());
    }
}
