import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Clients write their requests in small pieces, each request within 1 s, on connections that they keep. The
 * proxy is told to end by SIGTERM. A request of which the proxy has taken the first bytes, and whose last byte
 * was written before the connection was closed, is owed an answer.
 */
public final class Case8 {
    private static final int CLIENTS = 20;

    /** A client may take 2 s for a head. */
    private static final long HEAD_MS = 1000;

    private static final int PIECES = 10;

    /** What is written this long before the end of a connection shows has certainly reached the proxy. */
    private static final long CERTAIN_MS = 100;

    private Case8() {}

    public static void main(String[] args) {
        Rig.main(Case8::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 8; i++) {
            discovery.set(new Node(rig, "s-" + i), "SERVING", 0);
        }
        Rig.Proxy proxy = rig.new Proxy("n0", discovery.port, "");
        Files.writeString(
                proxy.config,
                Settings.config("n0", proxy.port, discovery.port, 1024, discovery.list(), Settings.GRADES));
        proxy.start();
        Rig.sleep(2000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        List<String> broken = new ArrayList<>();
        long untilMs = rig.ms() + 9000;
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Rig.daemon(
                    "client-" + i,
                    () -> {
                        Rig.sleep(client * 57L);
                        String what = send(rig, proxy, client, untilMs);
                        synchronized (broken) {
                            if (what != null) {
                                broken.add(what);
                            }
                        }
                        done.countDown();
                    });
        }
        Rig.sleep(5000);
        if (trouble) {
            proxy.signal("TERM");
        }
        done.await();
        return broken.isEmpty() ? null : broken.size() + " requests were lost: " + String.join("; ", broken);
    }

    /** When the end of a connection has shown; it is watched while requests are written. */
    private static final class Answers {
        private final Rig rig;
        private final Rig.Client connection;
        private String answer;
        private long endMs = Long.MAX_VALUE;

        Answers(Rig rig, Rig.Client connection, String name) {
            this.rig = rig;
            this.connection = connection;
            Rig.daemon(name + "-answers", this::read);
        }

        private void read() {
            try {
                for (String l = connection.line(60_000); l != null; l = connection.line(60_000)) {
                    if (l.startsWith("VA ")) {
                        connection.line(5000); // the value, which has no line breaks
                    }
                    synchronized (this) {
                        answer = l;
                        notifyAll();
                    }
                }
            } catch (IOException e) {
                // the connection is over
            }
            synchronized (this) {
                endMs = rig.ms();
                notifyAll();
            }
        }

        synchronized boolean ended() {
            return endMs != Long.MAX_VALUE;
        }

        synchronized long endMs() {
            return endMs;
        }

        /** The answer to the request that was written last; null if the connection ended without one. */
        synchronized String await(long timeoutMs) throws InterruptedException {
            long untilMs = rig.ms() + timeoutMs;
            while (answer == null && !ended() && rig.ms() < untilMs) {
                wait(Math.max(1, untilMs - rig.ms()));
            }
            String a = answer;
            answer = null;
            return a;
        }
    }

    /** Sends requests until the connection ends; tells of a request that was lost. */
    private static String send(Rig rig, Rig.Proxy proxy, int client, long untilMs) {
        try (Rig.Client c = new Rig.Client(proxy.port)) {
            Answers answers = new Answers(rig, c, "client-" + client);
            for (int i = 0; rig.ms() < untilMs; i++) {
                String id = "c" + client + "x" + i;
                String request =
                        i % 4 == 3
                                ? Settings.set("7f3a9c21e0b4d6" + (10 + client), id, "enrolment", 2400, "a member's record")
                                : Settings.get("7f3a9c21e0b4d6" + (10 + client), id, "card-check", 1200);
                if (answers.ended()) {
                    return null; // between two requests
                }
                long firstMs = rig.ms();
                for (int p = 0; p < PIECES; p++) {
                    if (p > 0) {
                        Rig.sleep(HEAD_MS / PIECES);
                    }
                    c.send(request.substring(p * request.length() / PIECES, (p + 1) * request.length() / PIECES));
                }
                long lastMs = rig.ms();
                String answer = answers.await(4000);
                rig.note(id + ": first byte at " + firstMs + ", last at " + lastMs + ", answer " + answer
                                + (answers.ended() ? ", the connection's end at " + answers.endMs() : ""));
                if (answer == null) {
                    // begun when the connection had ended or was about to: it crossed the end, and the client
                    // sends it again
                    boolean crossed = firstMs > answers.endMs() - CERTAIN_MS;
                    return crossed ? null : id + " (begun " + (answers.endMs() - firstMs) + " ms before the connection's end)";
                }
                Rig.sleep(100);
            }
            return null;
        } catch (IOException e) {
            rig.note("client " + client + ": the connection broke while a request was written: " + e);
            return null; // its last byte was not written
        } catch (InterruptedException e) {
            return null;
        }
    }
}
