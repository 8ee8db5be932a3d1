import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/**
 * Idle clients fill the descriptors that a proxy keeps for clients, while others write requests slowly on
 * connections that they have kept. A request of which the proxy has taken the first bytes, and whose last byte
 * was written, is owed an answer; truly idle connections, and new ones, may be closed instead.
 */
public final class Case10 {
    /** The fewest descriptors that the pages know; clients with requests may hold a third, 85. */
    private static final int SOCKETS = 256;

    private static final int SLOW_CLIENTS = 8;

    /** More than the proxy keeps for clients together with the slow ones. */
    private static final int IDLE_CLIENTS = 110;

    /** A client may take 2 s for a head. */
    private static final long HEAD_MS = 1500;

    private static final int PIECES = 10;

    /** The idle clients come so long after the first byte of the slow requests. */
    private static final long CROWD_AFTER_MS = 1150;

    private Case10() {}

    public static void main(String[] args) {
        Rig.main(Case10::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 8; i++) {
            discovery.set(new Node(rig, "s-" + i), "SERVING", 0);
        }
        Rig.Proxy proxy = rig.new Proxy("n0", discovery.port, "");
        Files.writeString(
                proxy.config,
                Settings.config("n0", proxy.port, discovery.port, SOCKETS, discovery.list(), Settings.GRADES));
        proxy.start();
        Rig.sleep(2000);
        List<String> broken = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            Rig.Client c = new Rig.Client(proxy.port);
            int client = i;
            c.send(Settings.get("7f3a9c21e0b4d65" + i, "first" + i, "card-check", 1200));
            rig.note("first" + i + ": " + c.answer(2000));
            writers.add(
                    new Thread(
                            () -> {
                                String what = slowRequest(rig, c, client);
                                synchronized (broken) {
                                    if (what != null) {
                                        broken.add(what);
                                    }
                                }
                            }));
        }
        Rig.sleep(1000);
        writers.forEach(Thread::start);
        Rig.sleep(CROWD_AFTER_MS);
        List<Rig.Client> idle = new ArrayList<>();
        for (int i = 0; trouble && i < IDLE_CLIENTS; i++) {
            try {
                idle.add(new Rig.Client(proxy.port));
            } catch (IOException e) {
                rig.note("an idle client was not accepted: " + e);
            }
        }
        rig.note(idle.size() + " idle clients have connected");
        for (Thread t : writers) {
            t.join();
        }
        return broken.isEmpty() ? null : broken.size() + " requests were lost: " + String.join("; ", broken);
    }

    /** Writes one request in pieces; tells if it was lost. */
    private static String slowRequest(Rig rig, Rig.Client c, int client) {
        String id = "slow" + client;
        String request = Settings.set("7f3a9c21e0b4d65" + client, id, "enrolment", 2400, "a member's record");
        long firstMs = rig.ms();
        long lastMs;
        try {
            for (int p = 0; p < PIECES; p++) {
                if (p > 0) {
                    Rig.sleep(HEAD_MS / PIECES);
                }
                c.send(request.substring(p * request.length() / PIECES, (p + 1) * request.length() / PIECES));
            }
            lastMs = rig.ms();
        } catch (IOException e) {
            rig.note(id + ": begun at " + firstMs + ", the connection broke while it was written: " + e);
            return null; // its last byte was not written
        }
        String answer = c.answer(4000);
        rig.note(id + ": first byte at " + firstMs + ", last at " + lastMs + ", answer " + answer);
        return answer.startsWith("HD ") || answer.contains("ERROR") ? null : id + " (" + answer + ")";
    }
}
