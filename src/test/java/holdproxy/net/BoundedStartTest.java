package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A started proxy accepts clients within a bounded time, whatever discovery does. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // guards against a hang
class BoundedStartTest {
    /** Nine in ten processes have to be ready within this time. */
    private static final int READY_MS = 10_000;

    @TempDir Path folder;

    /** Both ways to get node lists: asked for, which awaits an answer, and pushed. */
    @ParameterizedTest
    @ValueSource(strings = {"subscribe", "automatic"})
    void discoveryThatNeverAnswersDoesNotBlockTheStart(String mode) throws Exception {
        String settings =
                Fixture.SETTINGS
                        .replace("\"askWithinMs\":100.0", "\"askWithinMs\":10000.0")
                        .replace("\"subscribe\"", "\"" + mode + "\"");
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), settings, 1024));
        EventLoop loop = ProxyService.loop(new LoopIoHandlerFactory());
        try (Peer.Listener discovery = new Peer.Listener()) {
            Config config = Config.load(Fixture.env(file, discovery.address()));
            Proxy proxy = ProxyService.start(config, loop, null, null, null);
            assertTrue(
                    discovery.next().line().startsWith("GET "),
                    "discovery was not asked for a list");
            assertFalse(
                    proxy.members().firstList().isDone(),
                    "a first list is reported though discovery sent none");
            try (Peer client = Peer.to(proxy.address())) {
                client.send("mn\r\n");
                client.expect("MN");
            }
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void theWaitsBeforeListeningSumToLessThanTheTimeToBeReady() throws Exception {
        int firstList = Math.max(bound("FIRST_LIST_MS"), bound("FIRST_LIST_ALONE_MS"));
        int address = bound("BIND_TRIES") * bound("BIND_WAIT_MS");
        assertTrue(
                firstList + address < READY_MS,
                "a start may wait "
                        + firstList
                        + " ms for a list and "
                        + address
                        + " ms to listen");
    }

    private static int bound(String name) throws Exception {
        Field field = ProxyService.class.getDeclaredField(name);
        field.setAccessible(true);
        return field.getInt(null);
    }
}
