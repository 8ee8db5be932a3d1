package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real process and its signals, each sent at a moment that the process itself has told. */
@Timeout(120)
class SignalTest {
    private final Peer.Listener node = new Peer.Listener();
    private final Peer.Listener discovery = new Peer.Listener();
    @TempDir Path folder;
    private Process process;
    private BufferedReader log;

    SignalTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        node.close();
        discovery.close();
    }

    private void start(String listen) throws Exception {
        Path file = folder.resolve("config.json");
        String entry = "{\"id\":\"s-0\",\"addr\":\"" + node.address() + "\",\"state\":\"SERVING\"}";
        Files.writeString(file, Fixture.json(Fixture.list(1, true, entry), Fixture.SETTINGS, 1024));
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "holdproxy.Main",
                        "serve");
        builder.environment().putAll(Fixture.env(file, discovery.address()));
        builder.environment().put("LB_LISTEN", listen);
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
    }

    /** The first line of its log from here on that holds this. */
    private String line(String part) throws Exception {
        StringBuilder before = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(part)) {
                return line;
            }
            before.append(line).append('\n');
        }
        throw new AssertionError(
                "it ended with " + process.waitFor() + " before it said: " + part + "\n" + before);
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor());
    }

    @Test
    void bothSignalsAreHeededBeforeTheFirstClientCanHaveAnAnswer() throws Exception {
        ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        start("127.0.0.1:" + held.getLocalPort());
        line("waiting for ");
        signal("HUP");
        line("the old configuration is kept");
        held.close();
        line("listening on ");
        try (Peer client =
                Peer.to(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), held.getLocalPort()))) {
            client.send("mn\r\n");
            client.expect("MN");
        }
        signal("TERM");
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void toldToEndWhileItWaitsForItsAddressItEnds() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start("127.0.0.1:" + held.getLocalPort());
            line("waiting for ");
            signal("TERM");
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    @Test
    void anAddressThatCannotBeHadIsSaidAndEndsItWithTwo() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start("127.0.0.1:" + held.getLocalPort());
            line("cannot listen on ");
            assertEquals(2, process.waitFor());
        }
    }

    /** Deadlines are 5 s here: SIGKILL may come 3.7 s after SIGTERM, before the request is due. */
    @Test
    void whatIsOpenAtTheEndHasItsAnswerBeforeTheProcessIsGone() throws Exception {
        start("127.0.0.1:0");
        String listening = line("listening on ");
        int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1).strip());
        try (Peer client = Peer.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
            client.send(Fixture.write("charge", "c1", 5000));
            Peer silent = node.next();
            assertNotNull(silent.line());
            signal("TERM");
            client.expect("SERVER_ERROR failed");
            client.close();
            line("a request is open at the end: failed"); // and not when it was due
        }
        assertEquals(0, process.waitFor());
    }
}
