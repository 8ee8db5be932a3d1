import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A cache node: a request begins when its last byte has arrived; the answers of a connection come in the order
 * of its requests.
 */
class Node {
    /** A request as it arrived. */
    static final class Request {
        String line;
        String verb;
        String key;
        String id;
        String fields;
        int bytes;
        long atMs;
        Connection connection;

        String field(String name) {
            for (String f : fields.split(",")) {
                if (f.startsWith(name + "=")) {
                    return f.substring(name.length() + 1);
                }
            }
            return "";
        }
    }

    final class Connection {
        final Socket socket;
        final OutputStream out;
        final LinkedBlockingQueue<Request> waiting = new LinkedBlockingQueue<>();

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // it is over already
            }
        }

        private void read() {
            try (InputStream in = input(new BufferedInputStream(socket.getInputStream(), 64 * 1024))) {
                while (true) {
                    Request r = next(in);
                    if (r == null) {
                        break;
                    }
                    r.atMs = rig.ms();
                    r.connection = this;
                    requests.add(r);
                    rig.note(name + " begins " + r.line + (r.bytes > 0 ? " +" + r.bytes + " B" : ""));
                    waiting.add(r);
                }
            } catch (IOException e) {
                // the connection is over
            }
            waiting.add(new Request());
        }

        private void answer() {
            try {
                while (true) {
                    Request r = waiting.take();
                    if (r.line == null) {
                        break;
                    }
                    Rig.sleep(r.atMs + workMs(r) - rig.ms());
                    Node.this.answer(r, this);
                    out.flush();
                }
                socket.close();
            } catch (IOException | InterruptedException e) {
                // the connection is over
            }
            connections.remove(this);
        }
    }

    final Rig rig;
    final String name;
    final ServerSocket listener;
    final int port;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    final List<Connection> connections = new CopyOnWriteArrayList<>();
    final Random random = new Random(1);

    Node(Rig rig, String name) throws IOException {
        this(rig, name, 0);
    }

    Node(Rig rig, String name, int atPort) throws IOException {
        this.rig = rig;
        this.name = name;
        listener = new ServerSocket();
        if (receiveBuffer() > 0) {
            listener.setReceiveBufferSize(receiveBuffer());
        }
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(Rig.loopback(), atPort), 512);
        port = listener.getLocalPort();
        Rig.daemon(name, this::accept);
    }

    /** The receive buffer of its sockets; 0: as the system has it. */
    int receiveBuffer() {
        return 0;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection c = new Connection(listener.accept());
                connections.add(c);
                Rig.daemon(name + "-read", c::read);
                Rig.daemon(name + "-answer", c::answer);
            } catch (IOException e) {
                // closed, or the client has gone already
            }
        }
    }

    /** Dies: connections are reset, new ones are refused. */
    void die() throws IOException {
        rig.note(name + " dies");
        listener.close();
        for (Connection c : connections) {
            c.reset();
        }
    }

    /** What is read from a connection; a slow node slows it down. */
    InputStream input(InputStream in) {
        return in;
    }

    /** How long it works on a request. */
    long workMs(Request r) {
        return 20;
    }

    void answer(Request r, Connection c) throws IOException {
        if (r.verb.equals("ms")) {
            c.out.write(bytes("HD " + r.id + " c" + name + "-" + r.id.substring(1) + "\r\n"));
        } else {
            value(r, c, 20);
        }
        rig.note(name + " answers " + r.id);
    }

    static void value(Request r, Connection c, int length) throws IOException {
        byte[] value = new byte[length];
        java.util.Arrays.fill(value, (byte) 'v');
        c.out.write(bytes("VA " + length + " " + r.id + "\r\n"));
        c.out.write(value);
        c.out.write(bytes("\r\n"));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Request next(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Request r = new Request();
        r.line = line;
        String[] words = line.split(" ");
        r.verb = words[0];
        r.key = words.length > 1 ? words[1] : "";
        r.id = "";
        r.fields = "";
        for (String w : words) {
            if (w.startsWith("O")) {
                r.id = w;
            } else if (w.startsWith("P")) {
                r.fields = w.substring(1);
            }
        }
        if (r.verb.equals("ms")) {
            r.bytes = Integer.parseInt(words[2]);
            if (in.readNBytes(r.bytes + 2).length < r.bytes + 2) {
                return null;
            }
        }
        return r;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return s.toString().replace("\r", "");
            }
            s.append((char) b);
        }
        return null;
    }

    /** Whether a request with this id has begun here. */
    boolean has(String id) {
        return requests.stream().anyMatch(r -> r.id.equals(id));
    }
}
