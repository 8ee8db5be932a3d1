import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases share: the record, the proxy's process, and stand-ins for discovery and cache nodes. */
final class Stand implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** {@code folder}: the folder of the case, in which the record is written. */
    Stand(String folder) throws IOException {
        this.folder = Path.of(folder);
        record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
        record("the disruption is " + (trouble ? "on" : "off (TROUBLE=0)"));
    }

    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void record(String line) {
        record.printf("%8d ms  %s%n", ms(), line);
    }

    /** Writes the result as the last line of the record; returns the exit code of the script. */
    int result(List<String> broken) {
        for (String line : broken) {
            record("BROKEN: " + line);
        }
        String last = broken.isEmpty() ? "the rule held" : "the rule was broken";
        record(last);
        System.out.println(last + (broken.isEmpty() ? "" : ": " + broken.get(0)));
        return broken.isEmpty() ? 0 : 1;
    }

    @Override
    public void close() throws Exception {
        for (int i = toClose.size() - 1; i >= 0; i--) {
            toClose.get(i).close();
        }
    }

    interface Body {
        int run(Stand stand) throws Exception;
    }

    /** Runs a case; ends with its result, or with 2 if it could not run. */
    static void main(String folder, Body body) {
        int code = 2;
        try (Stand stand = new Stand(folder)) {
            // also when this script is told to end, nothing that it started may stay
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(() -> stand.processes.forEach(Process::destroyForcibly)));
            code = body.run(stand);
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, Action action) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // a connection that has ended
                            }
                        },
                        name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface Action {
        void run() throws Exception;
    }

    // ---- text on sockets ----

    /** Reads a line that ends in CRLF, without it; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- cache nodes ----

    /** A command as a cache node got it. */
    static final class Command {
        String line;
        String key;
        String id;
        boolean write;
        int valueBytes;
        Socket socket;
        OutputStream out;
        Map<String, String> fields = new LinkedHashMap<>();

        void answer(String text) throws IOException {
            out.write(bytes(text + "\r\n"));
            out.flush();
        }

        void value(byte[] value) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(bytes("VA " + value.length + " " + id + "\r\n"));
            all.write(value);
            all.write(bytes("\r\n"));
            out.write(all.toByteArray());
            out.flush();
        }

        void receipt() throws IOException {
            answer("HD " + id + " cr" + id.substring(1));
        }
    }

    interface Behaviour {
        void run(Command c) throws Exception;
    }

    /** A cache node: one thread a connection, which answers its commands in order. */
    final class Node implements AutoCloseable {
        final String id;
        final String zone;
        final ServerSocket server;
        final AtomicInteger runs = new AtomicInteger();
        volatile Behaviour behaviour;
        volatile String state = "SERVING";
        final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Node(String id, String zone, Behaviour behaviour) throws IOException {
            this.id = id;
            this.zone = zone;
            this.behaviour = behaviour;
            server = new ServerSocket(0, 1024, LOOPBACK);
            toClose.add(this);
            thread(
                    "node " + id,
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            s.setTcpNoDelay(true);
                            sockets.add(s);
                            thread("connection of " + id, () -> serve(s));
                        }
                    });
        }

        private void serve(Socket s) throws Exception {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream(), 1 << 16);
                for (String line = line(in); line != null; line = line(in)) {
                    Command c = new Command();
                    c.line = line;
                    c.socket = s;
                    c.out = s.getOutputStream();
                    String[] words = line.split(" ");
                    c.write = words[0].equals("ms");
                    c.key = words[1];
                    for (String w : words) {
                        if (w.startsWith("O")) {
                            c.id = w;
                        } else if (w.startsWith("P")) {
                            for (String f : w.substring(1).split(",")) {
                                int eq = f.indexOf('=');
                                c.fields.put(f.substring(0, eq), f.substring(eq + 1));
                            }
                        }
                    }
                    if (c.write) {
                        c.valueBytes = Integer.parseInt(words[2]);
                        in.readNBytes(c.valueBytes + 2);
                    }
                    runs.incrementAndGet();
                    record(id + " runs " + line);
                    behaviour.run(c);
                }
            } finally {
                sockets.remove(s);
            }
        }

        String entry() {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + server.getLocalPort()
                    + "\",\"zone\":\"" + zone + "\",\"kind\":\"std-1c\",\"cell\":1,\"state\":\""
                    + state + "\",\"weight\":1.0,\"started_ms\":0}";
        }

        /** As when its process dies: connections are reset, new ones are refused. */
        void die() throws IOException {
            server.close();
            for (Socket s : sockets) {
                s.setSoLinger(true, 0);
                s.close();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    // ---- discovery ----

    /** Discovery: answers a call with the whole list; a watch then gets an empty line every 2 s. */
    final class Discovery implements AutoCloseable {
        final ServerSocket server;
        final List<Node> nodes = new CopyOnWriteArrayList<>();
        private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        private int version = 41;

        Discovery(List<Node> listed) throws IOException {
            nodes.addAll(listed);
            server = new ServerSocket(0, 64, LOOPBACK);
            toClose.add(this);
            thread(
                    "discovery",
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            s.setTcpNoDelay(true);
                            thread("call to discovery", () -> serve(s));
                        }
                    });
        }

        synchronized String list() {
            List<String> entries = new ArrayList<>();
            nodes.forEach(n -> entries.add(n.entry()));
            return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                    + String.join(",", entries) + "]}";
        }

        private void serve(Socket s) throws Exception {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                for (String call = line(in); call != null; call = line(in)) {
                    while (!line(in).isEmpty()) {
                        // a header
                    }
                    record("discovery is asked " + call);
                    if (!call.contains("stream=1")) {
                        byte[] list = bytes(list() + "\n");
                        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + list.length + "\r\n\r\n"));
                        out.write(list);
                        out.flush();
                        continue;
                    }
                    out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"));
                    synchronized (this) {
                        chunk(out, list() + "\n");
                        watches.add(out);
                    }
                    while (true) {
                        sleep(2000);
                        chunk(out, "\n");
                    }
                }
            }
        }

        private void chunk(OutputStream out, String text) throws IOException {
            synchronized (out) {
                out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
            }
        }

        /** Tells all watches the entry of this node, as it is now. */
        synchronized void changed(Node n) {
            version++;
            String change = "{\"version\":" + version + ",\"full\":false,\"servers\":[" + n.entry() + "]}\n";
            record("discovery tells " + change.strip());
            for (OutputStream w : watches) {
                try {
                    chunk(w, change);
                } catch (IOException e) {
                    watches.remove(w);
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- the proxy ----

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
            return s.getLocalPort();
        }
    }

    /** One class in the settings. */
    static String grade(String name, int targetMs, int deadlineMs, String effect, int windowMs, int value) {
        return "{\"name\":\"" + name + "\",\"targetMs\":" + targetMs + ".0,\"deadlineMs\":" + deadlineMs
                + ".0,\"effect\":\"" + effect + "\",\"group\":\"all\",\"repeatWindowMs\":" + windowMs
                + ".0,\"lateWorth\":0.0,\"stream\":false,\"value\":" + value + ".0}";
    }

    /** The classes of hafnarvik-members. */
    static final String GRADES =
            grade("card-check", 500, 1500, "pure", 5000, 1)
                    + "," + grade("member-record", 600, 2000, "pure", 5000, 2)
                    + "," + grade("renewal", 800, 4000, "token", 2500, 10)
                    + "," + grade("enrolment", 1500, 3000, "side_effect", 5000, 10);

    /** The settings of hafnarvik-members, with these classes. */
    static String settings(String grades) {
        return "{\"az\":0,\"balancers\":2,\"index\":0,\"stage\":0,\"tickMs\":5.0,"
                + "\"caps\":{\"cpuUsPerRequest\":10.0,\"cpuUsPerS\":8000.0,\"dialTimeoutMs\":200.0,"
                + "\"idleCloseMs\":30000.0,\"maxAttempts\":3,\"maxRetryAfterMs\":2000.0,\"mayCancel\":true,"
                + "\"multiplex\":100,\"openCap\":20000,\"peers\":false,\"probing\":false,"
                + "\"retryAfter\":false,\"secondCopies\":true},"
                + "\"clients\":{\"marksRetry\":true},\"countedBy\":\"request\","
                + "\"deductions\":{\"connection\":0.0,\"crossZone\":0.06,\"handshake\":0.0,"
                + "\"lateFail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0,"
                + "\"registryMode\":0.01,\"waste\":0.04},\"domainType\":\"cache\","
                + "\"familyInfo\":{\"mode\":\"through\",\"notes\":\"off\",\"originFallMs\":3000.0,"
                + "\"originFallMultiple\":0.0,\"originKind\":-1},"
                + "\"grades\":[" + grades + "],"
                + "\"kinds\":[\"fast-1c\",\"std-1c\"],\"localities\":[\"room-north\",\"room-south\"],"
                + "\"overShareWorth\":0.1,\"registryMode\":\"subscribe\","
                + "\"reporting\":{\"fields\":[],\"source\":\"off\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.13,\"coldMs\":24000.0,"
                + "\"drainGraceMs\":500.0,\"fallMs\":2000.0,\"graceToAnswerMs\":20.0,\"tipMultiple\":4.0},"
                + "\"scoreParts\":{\"whole\":0.45,\"worstClass\":0.3,\"worstTenant\":0.1,\"worstWindow\":0.15},"
                + "\"tenants\":[{\"name\":\"baejarlaug\",\"quotaPerS\":42.0,\"share\":0.45},"
                + "{\"name\":\"ithrottafelagid\",\"quotaPerS\":34.0,\"share\":0.37},"
                + "{\"name\":\"golfklubbur\",\"quotaPerS\":17.0,\"share\":0.18}],"
                + "\"tiers\":[\"card-cache\"],\"weights\":\"off\"}";
    }

    static final String SETTINGS = settings(GRADES);

    /** The proxy, started with the deploy file's command. */
    final class Proxy implements AutoCloseable {
        final int port = freePort();
        final int console = freePort();
        final Process process;
        final Path temporary = Files.createTempDirectory("proxy");
        final Path config = temporary.resolve("config.json");
        private final Path log = folder.resolve("proxy.log");
        private final Discovery discovery;
        private final int sockets;

        Proxy(Discovery discovery, int sockets, String settings) throws IOException {
            this.discovery = discovery;
            this.sockets = sockets;
            writeConfig(settings, discovery.server.getLocalPort());
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.length() - 1);
                }
            }
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run);
            b.environment().put("LB_NAME", "n0");
            b.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            b.environment().put("LB_DISCOVERY", "127.0.0.1:" + discovery.server.getLocalPort());
            b.environment().put("LB_CONFIG", config.toString());
            b.environment().put("LB_CONSOLE", "127.0.0.1:" + console);
            Path tmp = Files.createDirectories(temporary.resolve("tmp"));
            b.environment().put("TMPDIR", tmp.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(log.toFile());
            process = b.start();
            processes.add(process);
            toClose.add(this);
            awaitReady();
        }

        final void writeConfig(String settings, int discoveryPort) throws IOException {
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                            + discoveryPort + "\",\"console\":\"127.0.0.1:" + console
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                            + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":"
                            + discovery.list() + ",\"settings\":" + settings + "}");
        }

        /** Until it answers mn with MN, as the platform asks. */
        private void awaitReady() throws IOException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (System.nanoTime() < until) {
                try (Socket s = connect()) {
                    s.setSoTimeout(1000);
                    s.getOutputStream().write(bytes("mn\r\n"));
                    if ("MN".equals(line(s.getInputStream()))) {
                        record("the proxy is ready");
                        return;
                    }
                } catch (IOException e) {
                    sleep(50);
                }
            }
            throw new IOException("the proxy is not ready; see proxy.log");
        }

        Socket connect() throws IOException {
            return connect(0);
        }

        /** A client's connection; {@code receiveBytes} above 0 sets the room for what it has not read. */
        Socket connect(int receiveBytes) throws IOException {
            Socket s = new Socket();
            s.setTcpNoDelay(true);
            if (receiveBytes > 0) {
                s.setReceiveBufferSize(receiveBytes);
            }
            s.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            return s;
        }

        void signal(String name) throws IOException {
            record("SIG" + name + " to the proxy");
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            try (var files = Files.walk(temporary)) {
                Path[] all = files.toArray(Path[]::new);
                for (int i = all.length - 1; i >= 0; i--) {
                    Files.delete(all[i]);
                }
            }
        }
    }

    // ---- clients ----

    /**
     * Sound clients of one proxy, one request at a time on each of their connections. They wait for each
     * answer until it is lost by the rule: half a second after the request's time, and 50 ms more.
     */
    final class Clients {
        private static final int LOST_AFTER_MS = 550;

        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger answered = new AtomicInteger();
        final List<String> lost = new CopyOnWriteArrayList<>();
        private final AtomicInteger ids = new AtomicInteger();
        private final Proxy proxy;
        private volatile boolean ended;
        private final List<Thread> threads = new ArrayList<>();

        /** {@code count} connections, on each of which a request follows the answer after this pause. */
        Clients(Proxy proxy, int count, int pauseMs) {
            this.proxy = proxy;
            for (int i = 0; i < count; i++) {
                threads.add(thread("client", () -> requests(pauseMs)));
            }
        }

        private void requests(int pauseMs) throws IOException {
            Socket s = proxy.connect();
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (!ended) {
                int n = ids.incrementAndGet();
                String id = String.format("O%016x", 0x1000000L + n);
                int waitMs = 900; // 60% of the deadline of card-check
                String line = "mg " + String.format("%x", 0xa000 + n % 200) + " v " + id
                        + " Pc=card-check,t=baejarlaug,d=" + waitMs;
                s.getOutputStream().write(bytes(line + "\r\n"));
                long sent = ms();
                s.setSoTimeout(waitMs + LOST_AFTER_MS);
                String answer;
                try {
                    answer = line(in);
                    if (answer != null && answer.startsWith("VA ")) {
                        in.readNBytes(Integer.parseInt(answer.split(" ")[1]) + 2);
                    }
                } catch (java.net.SocketTimeoutException e) {
                    answer = "";
                }
                long took = ms() - sent;
                if (answer == null || answer.isEmpty() || took > waitMs + LOST_AFTER_MS) {
                    String what = line + ": "
                            + (answer == null
                                    ? "the proxy closed the connection, after " + took + " ms"
                                    : answer.isEmpty()
                                            ? "no answer " + took + " ms after it was sent"
                                            : "answered after " + took + " ms");
                    lost.add(what);
                    record("lost: " + what);
                    s.close();
                    s = proxy.connect();
                    in = new BufferedInputStream(s.getInputStream());
                } else {
                    answered.incrementAndGet();
                    served.addAndGet(answer.startsWith("VA ") ? 1 : 0);
                    record("client sent " + line + "; got " + answer + " after " + took + " ms");
                }
                sleep(pauseMs);
            }
            s.close();
        }

        /** No new requests; returns when the last answer is in or lost. */
        void end() throws InterruptedException {
            ended = true;
            for (Thread t : threads) {
                t.join(5_000);
            }
            record("requests answered: " + answered + ", of these served: " + served
                    + "; lost: " + lost.size());
        }
    }

    static byte[] value(int length, char fill) {
        byte[] v = new byte[length];
        Arrays.fill(v, (byte) fill);
        return v;
    }
}
