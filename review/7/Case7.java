import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Clients read values of 4 MiB at 1 MB/s and send a further command on their connection every 0.4 s. The proxy
 * is told to end by SIGTERM while they read. No value may be cut off once the cache node has given all of it.
 */
public final class Case7 {
    private static final int VALUE_BYTES = 4 << 20;
    private static final int READERS = 4;
    private static final double BYTES_PER_MS = 1000;
    private static final long MORE_EVERY_MS = 400;

    /** SIGTERM once the first client has taken so much; the rest takes 2.2 s, SIGKILL comes after 3.7 s. */
    private static final int BYTES_BEFORE_SIGTERM = 2_000_000;

    private static final class CacheNode extends Node {
        CacheNode(Rig rig, String name) throws IOException {
            super(rig, name);
        }

        @Override
        void answer(Request r, Connection c) throws IOException {
            if (!r.id.startsWith("Olarge")) {
                super.answer(r, c);
                return;
            }
            value(r, c, VALUE_BYTES);
            c.out.flush();
            rig.note(name + " has given all of " + r.id);
        }
    }

    private Case7() {}

    public static void main(String[] args) {
        Rig.main(Case7::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 8; i++) {
            discovery.set(new CacheNode(rig, "s-" + i), "SERVING", 0);
        }
        Rig.Proxy proxy = rig.new Proxy("n0", discovery.port, "");
        Files.writeString(
                proxy.config,
                Settings.config("n0", proxy.port, discovery.port, 1024, discovery.list(), Settings.GRADES));
        proxy.start();
        Rig.sleep(2000);
        CountDownLatch halfRead = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(READERS);
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            int client = i;
            Rig.daemon(
                    "reader-" + i,
                    () -> {
                        String what = read(rig, proxy, client, halfRead);
                        synchronized (broken) {
                            if (what != null) {
                                broken.add(what);
                            }
                        }
                        done.countDown();
                    });
        }
        halfRead.await();
        if (trouble) {
            proxy.signal("TERM");
        }
        done.await();
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    /** Null if the value came whole. */
    private static String read(Rig rig, Rig.Proxy proxy, int client, CountDownLatch halfRead) {
        String id = "large" + client;
        int want = VALUE_BYTES + 2;
        int got = 0;
        int more = 0;
        List<String> sent = new ArrayList<>();
        // a slow client's receive buffer
        try (Rig.Client c = new Rig.Client(proxy.port, 64 * 1024)) {
            c.send(Settings.get("7f3a9c21e0b4d65" + client, id, "member-record", 2000));
            String head = c.line(2000);
            rig.note(id + ": " + head);
            if (head == null || !head.startsWith("VA ")) {
                return null; // refused or failed, which is an answer
            }
            long startMs = rig.ms();
            byte[] part = new byte[16 * 1024];
            while (got < want) {
                int n = c.read(new byte[Math.min(part.length, want - got)], 4000);
                if (n < 0) {
                    break;
                }
                got += n;
                if (got > BYTES_BEFORE_SIGTERM) {
                    halfRead.countDown();
                }
                rig.sleepUntil(startMs + (long) (got / BYTES_PER_MS));
                if (rig.ms() - startMs > MORE_EVERY_MS * (more + 1) && got < want) {
                    String next = "small" + client + "x" + more++;
                    c.send(Settings.get("5c0f6e1a2b3d4c5" + more % 10, next, "card-check", 1500));
                    sent.add(next);
                    rig.note(next + " sent behind it, " + got + " bytes taken so far");
                }
            }
            rig.note(id + ": taken " + got + " of " + want + " bytes");
            for (String s : got == want ? sent : List.<String>of()) {
                rig.note(s + ": " + c.answer(3000));
            }
            return got == want ? null : id + " ended after " + got + " of " + want + " bytes";
        } catch (IOException e) {
            rig.note(id + ": taken " + got + " of " + want + " bytes, then " + e);
            return got == want ? null : id + " was cut off after " + got + " of " + want + " bytes (" + e.getMessage() + ")";
        } finally {
            halfRead.countDown();
        }
    }
}
