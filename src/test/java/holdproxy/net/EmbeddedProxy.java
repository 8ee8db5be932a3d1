package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** A proxy in memory on a clock that the test sets; clients are its {@link #client} channels. */
final class EmbeddedProxy {
    final MockTicker ticker = Ticker.newMockTicker();

    /** Its event loop runs the proxy's timers. */
    final EmbeddedChannel timers = EmbeddedChannel.builder().ticker(ticker).build();

    final EmbeddedTransport transport = new EmbeddedTransport();
    final List<String> log = new ArrayList<>();

    /** The cache nodes of the list that the proxy has. */
    final List<Discovery.Entry> entries = new ArrayList<>();

    final Proxy proxy;

    /** With the settings of {@link Fixture}. */
    EmbeddedProxy(int nodeCount) throws IOException {
        this(nodeCount, settings -> settings);
    }

    /** {@code change}: what to change in the settings of {@link Fixture}. */
    EmbeddedProxy(int nodeCount, UnaryOperator<String> change) throws IOException {
        Config config = config(change.apply(Fixture.SETTINGS));
        Clock time = new Clock(ticker, () -> 0);
        proxy = new Proxy(config, timers.eventLoop(), time, transport, new Log(time, log::add));
        for (int i = 0; i < nodeCount; i++) {
            Router.Node node = new Router.Node();
            node.id = i + 1;
            entries.add(new Discovery.Entry(node, "s-" + i, config.listen));
        }
        proxy.nodes(Router.ListKind.CACHED, entries);
    }

    private static Config config(String settings) throws IOException {
        Path file = Files.createTempFile("config", ".json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), settings, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        Files.delete(file);
        return config;
    }

    EmbeddedChannel client() {
        return EmbeddedChannel.builder().ticker(ticker).handlers(proxy.handlers()).build();
    }

    /** Moves the clock and runs the proxy's timers that are due. */
    void advance(int ms) {
        ticker.advance(ms, TimeUnit.MILLISECONDS);
        timers.runScheduledPendingTasks();
    }
}
