import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A stub of discovery and one cache node on one loopback port, for the training run of the proxy that {@code
 * deploy/archive} starts: only classes that the proxy loads in that run are in the archive. Prints its port; exits at
 * the end of its standard input.
 */
public final class ArchiveStandIn {
    private ArchiveStandIn() {
    }

    public static void main(String[] args) throws IOException {
        ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(() -> accept(server));
        accepting.setDaemon(true);
        accepting.start();
        System.out.println(server.getLocalPort());
        System.out.flush();
        while (System.in.read() >= 0) {
            // run until the parent process exits
        }
    }

    private static void accept(ServerSocket server) {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread peer = new Thread(() -> serve(socket, server.getLocalPort()));
                peer.setDaemon(true);
                peer.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket, int port) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                int id = line.indexOf(" O");
                if (line.startsWith("GET ")) {
                    watch(out, port);
                } else if (id > 0) {
                    String opaque = line.substring(id + 1).split(" ")[0];
                    write(out, line.startsWith("mg bbbb ") ? "VA 70000 " + opaque + "\r\n" + "x".repeat(70000) + "\r\n"
                        : line.startsWith("mg") ? "VA 5 " + opaque + "\r\nhello\r\n" : "HD " + opaque + " c1\r\n");
                }
            }
        } catch (IOException e) {
            // the proxy closed the connection
        }
    }

    /** Sends what a watch delivers: the full list, one change and a heartbeat. */
    private static void watch(OutputStream out, int port) throws IOException {
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(out, list(1, true, port));
        chunk(out, list(2, false, port));
        chunk(out, "\n");
    }

    private static String list(int version, boolean full, int port) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:"
            + port + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"SERVING\","
            + "\"weight\":1.0,\"started_ms\":0}]}\n";
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
