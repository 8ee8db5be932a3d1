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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Signals to a real process, each sent once the process has logged the state for which it is meant. */
@Timeout(
        value = 120,
        threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a read of the log cannot be interrupted
class SignalTest {
    private final Peer.Listener node = new Peer.Listener();
    private final Peer.Listener discovery = new Peer.Listener();
    @TempDir Path folder;
    private Path file;
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
        start(listen, List.of());
    }

    /** {@code parent}: the command in front of the program's own. */
    private void start(String listen, List<String> parent) throws Exception {
        file = folder.resolve("config.json");
        Files.writeString(file, configuration(discovery));
        List<String> command = new ArrayList<>(parent);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "holdproxy.Main",
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(Fixture.env(file, discovery.address()));
        builder.environment().put("LB_LISTEN", listen);
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
    }

    private String configuration(Peer.Listener discovery) {
        String entry = "{\"id\":\"s-0\",\"addr\":\"" + node.address() + "\",\"state\":\"SERVING\"}";
        return "{\"discovery\":\""
                + discovery.address()
                + "\","
                + Fixture.json(Fixture.list(1, true, entry), Fixture.SETTINGS, 1024).substring(1);
    }

    /** Reads the log up to the next line that contains this. */
    private String line(String part) throws Exception {
        StringBuilder before = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(part)) {
                return line;
            }
            before.append(line).append('\n');
        }
        throw new AssertionError(
                "the process ended with "
                        + process.waitFor()
                        + " before it logged: "
                        + part
                        + "\n"
                        + before);
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor());
    }

    @Test
    void bothSignalsAreHandledBeforeTheFirstClientCanGetAnAnswer() throws Exception {
        ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        start("127.0.0.1:" + held.getLocalPort());
        line("waiting for ");
        signal("HUP");
        line("settings taken");
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

    /** With SIGHUP ignored, the file is polled instead, also after it held a broken configuration. */
    @Test
    void whereSighupIsIgnoredTheFileIsPolled() throws Exception {
        start("127.0.0.1:0", List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        assertTrue(line("SIGHUP has no effect").contains(file.toString()));
        line("settings taken"); // the first content; from here on only changes are reloaded
        try (Peer.Listener moved = new Peer.Listener()) {
            String next = configuration(moved);
            Files.writeString(file, next.substring(0, next.length() / 2));
            line("the old configuration is kept");
            Files.writeString(file, next);
            assertTrue(line("discovery is now at ").endsWith(moved.address()));
            moved.next().close();
        }
        signal("HUP");
        signal("TERM");
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * Runs the command of the deployment's run line in front of the program, under a parent that ignores
     * SIGHUP only. SIGINT is set to its default, as a build in the background of a shell has it ignored as
     * well.
     */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "INT"})
    void theDeploymentRunLineRestoresAllSignals(String end) throws Exception {
        String run = Files.readString(Path.of("deploy/balancer.toml"));
        String before = run.substring(run.indexOf("run = \"") + 7);
        before = before.substring(0, before.indexOf("java "));
        start(
                "127.0.0.1:0",
                List.of(
                        "env",
                        "--default-signal=INT,TERM",
                        "sh",
                        "-c",
                        "trap '' HUP; exec sh -c '" + before + "\"$@\"' sh \"$@\"",
                        "sh"));
        line("listening on ");
        signal("HUP");
        line("settings taken");
        signal(end);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    @Test
    void sigtermWhileWaitingForTheAddressEndsTheProcess() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start("127.0.0.1:" + held.getLocalPort());
            line("waiting for ");
            signal("TERM");
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    @Test
    void anAddressInUseIsLoggedAndEndsTheProcessWithCode2() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start("127.0.0.1:" + held.getLocalPort());
            line("cannot listen on ");
            assertEquals(2, process.waitFor());
        }
    }

    /** Deadlines are 5 s here, so that SIGKILL may come 3.7 s after SIGTERM, before a request's deadline. */
    @Test
    void openRequestsAreAnsweredBeforeTheProcessIsKilled() throws Exception {
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
            // failed before the process is killed, not at its deadline
            line("a request is still open before the process is killed; failing it");
        }
        assertEquals(0, process.waitFor());
    }
}
