import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases share: the record, a temporary folder, free ports, and proxies that run as processes by the
 * `run` line of the deploy file. The working folder is the case's own folder; ends with exit code 0 (held), 1
 * (broken) or 2 (could not run).
 */
final class Rig {
    interface Case {
        /** Returns null if the rule held, otherwise what broke it. */
        String run(Rig rig, boolean trouble) throws Exception;
    }

    /** Thrown when the case could not be tried. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    private static final long LIMIT_S = 115;

    private final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final Path temp;
    private final List<Process> processes = new ArrayList<>();
    final Path root = Path.of("").toAbsolutePath().getParent().getParent();

    private Rig() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of("record.txt")), true);
        temp = Files.createTempDirectory("review");
    }

    static void main(Case c) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig rig;
        try {
            rig = new Rig();
        } catch (IOException e) {
            System.err.println("cannot write the record: " + e);
            System.exit(2);
            return;
        }
        Thread.setDefaultUncaughtExceptionHandler((t, e) -> rig.note("thread " + t.getName() + ": " + e));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::end));
        Thread limit =
                new Thread(
                        () -> {
                            sleep(LIMIT_S * 1000);
                            rig.note("RESULT could not run: over the time limit");
                            rig.end();
                            Runtime.getRuntime().halt(2);
                        });
        limit.setDaemon(true);
        limit.start();
        int code;
        rig.note("disruption " + (trouble ? "on" : "off (TROUBLE=0)"));
        try {
            String broken = c.run(rig, trouble);
            rig.note(broken == null ? "RESULT the rule held" : "RESULT the rule was broken: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
            code = broken == null ? 0 : 1;
        } catch (Exception e) {
            rig.note("RESULT could not run: " + e);
            System.out.println("could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private synchronized void end() {
        for (Process p : processes) {
            p.destroyForcibly();
        }
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        processes.clear();
        try (Stream<Path> files = Files.walk(temp)) {
            for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(f);
            }
        } catch (IOException e) {
            // the folder is temporary
        }
    }

    /** Milliseconds since the start of the case, on a monotonic clock. */
    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    void note(String line) {
        synchronized (record) {
            record.println(String.format("%7d ms  %s", ms(), line));
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void sleepUntil(long atMs) {
        sleep(atMs - ms());
    }

    static void daemon(String name, Runnable run) {
        Thread t = new Thread(run, name);
        t.setDaemon(true);
        t.start();
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, loopback())) {
            return s.getLocalPort();
        }
    }

    Path folder(String name) throws IOException {
        return Files.createDirectories(temp.resolve(name));
    }

    /** A proxy as a process of its own. */
    final class Proxy {
        final String name;
        final int port;
        final int console;
        final Path config;
        private final int discovery;
        private final Path tmp;
        Process process;

        Proxy(String name, int discovery, String json) throws IOException {
            this.name = name;
            this.discovery = discovery;
            port = freePort();
            console = freePort();
            tmp = folder(name + "-tmp");
            config = temp.resolve(name + ".json");
            Files.writeString(config, json);
        }

        /** Starts it and waits until it answers `mn`. */
        Proxy start() throws Exception {
            String run =
                    Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                            .filter(l -> l.startsWith("run = \""))
                            .map(l -> l.substring(7, l.lastIndexOf('"')))
                            .findFirst()
                            .orElseThrow(() -> new CannotRun("no run line in the deploy file"));
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run);
            b.directory(root.toFile());
            b.environment().put("LB_NAME", name);
            b.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            b.environment().put("LB_DISCOVERY", "127.0.0.1:" + discovery);
            b.environment().put("LB_CONFIG", config.toString());
            b.environment().put("LB_CONSOLE", "127.0.0.1:" + console);
            b.environment().put("TMPDIR", tmp.toString());
            b.redirectErrorStream(true);
            process = b.start();
            synchronized (Rig.this) {
                processes.add(process);
            }
            Process p = process;
            note(name + " started, process " + p.pid() + ", clients at port " + port);
            daemon(
                    name + "-log",
                    () -> {
                        try (BufferedReader in =
                                new BufferedReader(new InputStreamReader(p.getInputStream()))) {
                            for (String l = in.readLine(); l != null; l = in.readLine()) {
                                note(name + " log: " + l);
                            }
                        } catch (IOException e) {
                            // the process has ended
                        }
                        note(name + " process has closed its log");
                    });
            for (int i = 0; i < 300; i++) {
                if (!p.isAlive()) {
                    throw new CannotRun(name + " ended at its start");
                }
                try (Client c = new Client(port)) {
                    c.send("mn\r\n");
                    if ("MN".equals(c.line(1000))) {
                        note(name + " answers mn");
                        return this;
                    }
                } catch (IOException e) {
                    // not ready yet
                }
                sleep(100);
            }
            throw new CannotRun(name + " was not ready within 30 s");
        }

        void signal(String signal) throws Exception {
            note("signal " + signal + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), port), 1000);
            in = new java.io.BufferedInputStream(socket.getInputStream(), 16 * 1024);
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** The next line without its end; null at the end of the connection. */
        String line(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            StringBuilder s = new StringBuilder();
            while (true) {
                int b = in.read();
                if (b < 0) {
                    return s.length() == 0 ? null : s + " (cut off)";
                }
                if (b == '\n') {
                    return s.toString().replace("\r", "");
                }
                s.append((char) b);
            }
        }

        /** An answer: its line and, for a value, the number of bytes that followed; or why there is none. */
        String answer(int timeoutMs) {
            try {
                String l = line(timeoutMs);
                if (l == null) {
                    return "END without an answer";
                }
                if (l.startsWith("VA ")) {
                    int length = Integer.parseInt(l.split(" ")[1]);
                    socket.setSoTimeout(timeoutMs);
                    byte[] value = in.readNBytes(length + 2);
                    if (value.length < length + 2) {
                        return "END within the value: " + value.length + " of " + (length + 2);
                    }
                }
                return l;
            } catch (java.net.SocketTimeoutException e) {
                return "NONE within " + timeoutMs + " ms";
            } catch (IOException e) {
                return "END by " + e.getMessage();
            }
        }

        int read(byte[] into, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            return in.read(into);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One call to the console; its first line. */
    String console(Proxy p, String call) throws IOException {
        try (Client c = new Client(p.console)) {
            c.send(call + "\n");
            String answer = c.line(1000);
            note("console of " + p.name + ": " + call + " -> " + answer);
            return answer;
        }
    }
}
