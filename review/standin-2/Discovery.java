import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery over HTTP: the whole list, and watches with an empty line every 2 s. */
class Discovery {
    private record Change(int version, String id, String entry) {}

    final Rig rig;
    final ServerSocket listener;
    final int port;
    private final Map<String, String> latest = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        listener = new ServerSocket(0, 64, Rig.loopback());
        port = listener.getLocalPort();
        Rig.daemon("discovery", this::accept);
        Rig.daemon("discovery-lines", this::lines);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                Rig.daemon("discovery-call", () -> call(s));
            } catch (IOException e) {
                // closed
            }
        }
    }

    private void lines() {
        while (true) {
            Rig.sleep(2000);
            synchronized (this) {
                for (Socket s : List.copyOf(watches)) {
                    chunk(s, "\n");
                }
            }
        }
    }

    private void call(Socket s) {
        try {
            s.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
            String first = in.readLine();
            for (String l = first; l != null && !l.isEmpty(); ) {
                l = in.readLine();
            }
            if (first == null) {
                s.close();
                return;
            }
            rig.note("discovery is asked: " + first);
            synchronized (this) {
                OutputStream out = s.getOutputStream();
                if (!first.contains("stream=1")) {
                    byte[] body = list().getBytes(StandardCharsets.UTF_8);
                    out.write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
                    out.write(body);
                    return;
                }
                int since = Integer.parseInt(first.replaceAll(".*index=(\\d+).*", "$1"));
                out.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
                List<String> missed =
                        changes.stream().filter(c -> c.version > since).map(Change::entry).toList();
                chunk(s, json(false, missed) + "\n");
                watches.add(s);
            }
        } catch (IOException e) {
            // the caller has gone
        }
    }

    private void chunk(Socket s, String text) {
        byte[] b = text.getBytes(StandardCharsets.UTF_8);
        try {
            byte[] head = (Integer.toHexString(b.length) + "\r\n").getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[head.length + b.length + 2];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(b, 0, all, head.length, b.length);
            all[all.length - 2] = '\r';
            all[all.length - 1] = '\n';
            s.getOutputStream().write(all);
        } catch (IOException e) {
            watches.remove(s);
        }
    }

    private String json(boolean full, List<String> entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** The whole list, also for a proxy's configuration. */
    synchronized String list() {
        return json(true, List.copyOf(latest.values()));
    }

    /** Sets a node's state and tells it to all watches. */
    synchronized void set(Node n, String state, long startedMs) {
        set(n.name, n.port, state, startedMs);
    }

    synchronized void set(String id, int nodePort, String state, long startedMs) {
        version++;
        String entry =
                "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + nodePort
                        + "\",\"zone\":\"room-north\",\"kind\":\"std-1c\",\"cell\":1,\"state\":\"" + state
                        + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
        if (state.equals("DELETED")) {
            latest.remove(id);
        } else {
            latest.put(id, entry);
        }
        changes.add(new Change(version, id, entry));
        rig.note("discovery tells version " + version + ": " + id + " " + state);
        for (Socket s : List.copyOf(watches)) {
            chunk(s, json(false, List.of(entry)) + "\n");
        }
    }
}
