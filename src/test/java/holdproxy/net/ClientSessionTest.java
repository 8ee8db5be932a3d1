package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Peers that send no proper request, on a clock that the test moves. */
class ClientSessionTest {
    @TempDir
    Path folder;
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        Time time = Time.system();
        proxy = new Proxy(config, new EmbeddedChannel().eventLoop(), time, null, new Log(time)); // no node is dialed
    }

    private EmbeddedChannel peer(String sends) {
        EmbeddedChannel peer = new EmbeddedChannel(proxy.handlers());
        peer.freezeTime();
        peer.writeInbound(Unpooled.copiedBuffer(sends, StandardCharsets.ISO_8859_1));
        return peer;
    }

    private static void pass(EmbeddedChannel peer, int ms) {
        peer.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        peer.runPendingTasks();
    }

    private static String said(EmbeddedChannel peer) {
        ByteBuf said = peer.readOutbound();
        String text = said.toString(StandardCharsets.ISO_8859_1);
        said.release();
        return text;
    }

    @Test
    void oneThatSendsNoWholeCommandIsToldSoAndEnds() {
        for (String sends : new String[] {"", "mg 7f", "ms 7f 64 Oa Pc=submit,t=acme,d=900\r\nhello"}) {
            EmbeddedChannel peer = peer(sends);
            pass(peer, 2000);
            assertTrue(peer.isActive());
            pass(peer, 999);
            assertTrue(said(peer).startsWith("CLIENT_ERROR "));
            assertFalse(peer.isActive());
        }
    }

    @Test
    void oneThatHasSentACommandIsKept() {
        EmbeddedChannel peer = peer("mn\r\n");
        assertEquals("MN\r\n", said(peer));
        pass(peer, 60_000);
        assertNull(peer.readOutbound());
        assertTrue(peer.isActive());
    }
}
