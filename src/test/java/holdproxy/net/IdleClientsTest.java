package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Discovery is still reached while idle clients hold all descriptors that clients may use. The process runs
 * under a system limit equal to the configured one, so that a descriptor which the proxy does not count
 * fails.
 */
@Timeout(
        value = 120,
        threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a read of the log cannot be interrupted
class IdleClientsTest {
    /** The minimum that a configuration may state. */
    private static final int SOCKETS = 128;

    private static final ConnectionLimits BOUND = ConnectionLimits.of(SOCKETS, false);

    /** A list is valid for 10 s, which keeps the pauses between calls long enough for each to be logged. */
    private static final String SETTINGS =
            Fixture.SETTINGS.replace("\"askWithinMs\":100.0", "\"askWithinMs\":10000.0");

    private final Peer.Listener firstNode = new Peer.Listener();
    private final Peer.Listener secondNode = new Peer.Listener();
    private final List<Peer> clients = new ArrayList<>();
    @TempDir Path folder;
    private Process process;
    private BufferedReader log;

    IdleClientsTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        for (Peer client : clients) {
            client.close();
        }
        firstNode.close();
        secondNode.close();
    }

    /** Only the jars that the program needs, as each one on the class path takes a descriptor. */
    private static String classPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> entry.matches(".*(target/classes/?|/(netty|jackson)-[^/]*\\.jar)"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    private InetSocketAddress start(String discovery) throws Exception {
        Path file = folder.resolve("config.json");
        String known = Fixture.list(1, true, entry("s-0", firstNode));
        Files.writeString(
                file,
                "{\"discovery\":\""
                        + discovery
                        + "\","
                        + Fixture.json(known, SETTINGS, SOCKETS).substring(1));
        ProcessBuilder builder =
                new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + SOCKETS + "; exec \"$@\"",
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        classPath(),
                        "holdproxy.Main",
                        "serve");
        builder.environment().putAll(Fixture.env(file, discovery));
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
        String listening = line("listening on ");
        int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1).strip());
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String entry(String id, Peer.Listener node) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + node.address() + "\",\"state\":\"SERVING\"}";
    }

    /** Reads the log up to the next line that contains this. */
    private String line(String part) throws Exception {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(part)) {
                return line;
            }
        }
        throw new AssertionError("the process ended before it logged: " + part);
    }

    /** Accepts the next call, reads its request and answers with this list. */
    private static Peer answerWith(Peer.Listener discovery, String list) throws Exception {
        Peer call = discovery.next();
        for (String line = call.line(); !line.isEmpty(); line = call.line()) {
            // skips the request
        }
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Fixture.chunk(call, list);
        return call;
    }

    /**
     * Opens all client connections allowed and some more; for each of those the longest idle one is closed.
     */
    private void fillWithIdleClients(InetSocketAddress proxy) throws Exception {
        for (int i = 0; i < BOUND.clients() + ConnectionLimits.REFUSAL_RESERVE; i++) {
            Peer client = Peer.to(proxy);
            clients.add(client);
            client.send("mn\r\n");
            client.expect("MN");
        }
        for (int i = 0; i < ConnectionLimits.REFUSAL_RESERVE; i++) {
            clients.remove(0).expectEnd();
        }
    }

    /** Opens all node connections allowed, one for each open request, and has them idle by answering. */
    private List<Peer> fillWithIdleNodeConnections() throws Exception {
        List<Peer> connections = new ArrayList<>();
        for (int i = 0; i < BOUND.nodes(); i++) {
            clients.get(i).send(Fixture.read("a" + i, 4900));
            connections.add(firstNode.next());
            assertTrue(connections.get(i).line().contains("Oa" + i + " "));
        }
        for (int i = 0; i < BOUND.nodes(); i++) {
            connections.get(i).send("VA 1 Oa" + i + "\r\n1\r\n");
            clients.get(i).expect("VA 1 Oa" + i, "1");
        }
        return connections;
    }

    /** Skips the log up to now, by a reload, which logs a line and needs a descriptor to read the file. */
    private void skipLog() throws Exception {
        Process kill = new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start();
        assertEquals(0, kill.waitFor());
        line("settings taken");
    }

    @Test
    void discoveryThatReturnsIsAskedWhileIdleClientsHoldAllTheirDescriptors() throws Exception {
        Peer.Listener discovery = new Peer.Listener();
        int port = discovery.port();
        InetSocketAddress proxy;
        try (discovery) {
            proxy = start(discovery.address());
        }
        fillWithIdleClients(proxy);
        List<Peer> connections = fillWithIdleNodeConnections();
        skipLog();
        // at least one call has failed while all of them were open
        line("discovery: no connection");
        try (Peer.Listener returned = new Peer.Listener(port)) {
            answerWith(returned, Fixture.list(2, true, entry("s-1", secondNode)));
            for (Peer connection : connections) {
                connection.expectEnd(); // its node is not in the new list
            }
            for (Peer client : clients) {
                client.send("mn\r\n");
                client.expect("MN");
            }
            clients.get(0).send(Fixture.read("b0", 4900));
            Peer node = secondNode.next();
            assertTrue(node.line().contains("Ob0 "));
            node.send("VA 1 Ob0\r\n1\r\n");
            clients.get(0).expect("VA 1 Ob0", "1");
        }
    }
}
