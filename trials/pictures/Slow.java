import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Picture (d): cache nodes that write a long answer slowly or read a large request slowly. */
final class Slow {
    private static final int VALUE_BYTES = 1 << 20;
    private static final int WRITE_BYTES = 4 << 20;
    private static final int PIECE_BYTES = 32 * 1024;
    private static final int BYTES_PER_MS = 400;

    private final Rig rig;
    private final boolean trouble;

    Slow(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    private final class CacheNode extends Node {
        CacheNode(Rig rig, String name) throws IOException {
            super(rig, name);
        }

        @Override
        int receiveBuffer() {
            return Pictures.variant.startsWith("write") ? 64 * 1024 : 0;
        }

        @Override
        InputStream input(InputStream in) {
            boolean paced = trouble && Pictures.variant.startsWith("write");
            return paced ? new PacedInput(in, BYTES_PER_MS) : in;
        }

        @Override
        void answer(Request r, Connection c) throws IOException {
            if (!r.id.startsWith("Olarge")) {
                super.answer(r, c);
                return;
            }
            c.out.write(bytes("VA " + VALUE_BYTES + " " + r.id + "\r\n"));
            for (int i = 0; i < VALUE_BYTES / PIECE_BYTES; i++) {
                c.out.write(new byte[PIECE_BYTES]);
                c.out.flush();
                Rig.sleep(pauseMs(i));
            }
            c.out.write(bytes("\r\n"));
            c.out.flush();
            rig.note(name + " has given all of " + r.id);
        }

        /** The pause behind a piece of the answer. */
        private long pauseMs(int piece) {
            return switch (trouble ? Pictures.variant : "") {
                case "answer-steady" -> 400;
                case "answer-silent" -> piece == 3 ? 6_000 : 10;
                case "answer-term" -> 80;
                case "answer-drain" -> 200;
                default -> 0;
            };
        }
    }

    String run() throws Exception {
        Site site = new Site(rig, 8, CacheNode::new);
        site.startSoundClients();
        Rig.sleep(500);
        List<String> broken = new ArrayList<>();
        int clients = 6;
        CountDownLatch done = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            int client = i;
            Rig.daemon(
                    "client-" + i,
                    () -> {
                        String what =
                                Pictures.variant.startsWith("write")
                                        ? write(site, client)
                                        : read(site, client);
                        synchronized (broken) {
                            if (what != null) {
                                broken.add(what);
                            }
                        }
                        done.countDown();
                    });
        }
        Rig.sleep(500);
        if (Pictures.variant.equals("answer-term")) {
            site.proxy.signal("TERM");
        }
        if (Pictures.variant.equals("answer-drain")) {
            for (Node n : site.nodes) {
                site.discovery.set(n, "DRAINING", 0);
            }
            Rig.sleep(1000);
            for (Node n : site.nodes.subList(0, 7)) {
                site.discovery.set(n, "DELETED", 0);
            }
        }
        done.await();
        if (!Pictures.variant.matches("answer-(term|drain)")) {
            String others = site.end();
            if (others != null) {
                broken.add(others);
            }
        }
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    private String read(Site site, int client) {
        try (Rig.Client c = new Rig.Client(site.proxy.port)) {
            c.send(Settings.get("7f3a9c21e0b4d65" + client, "large" + client, "member-record", 2000));
            String answer = c.answer(30_000);
            rig.note("large" + client + ": " + answer);
            return answer.startsWith("VA") ? null : answer;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private String write(Site site, int client) {
        String[] grades = {"enrolment", "renewal"};
        int waitMs = 2400;
        try (Rig.Client c = new Rig.Client(site.proxy.port)) {
            c.send(
                    Settings.set(
                            "7f3a9c21e0b4d65" + client,
                            "write" + client,
                            grades[client % 2],
                            waitMs,
                            "v".repeat(WRITE_BYTES / (client < 2 ? 1 : 4))));
            long sentMs = rig.ms();
            String answer = c.answer(15_000);
            long tookMs = rig.ms() - sentMs;
            String what = "write" + client + " after " + tookMs + " ms: " + answer;
            rig.note(what);
            System.out.println(what);
            return tookMs > waitMs + 550 || answer.startsWith("END") || answer.startsWith("NONE") ? what : null;
        } catch (IOException e) {
            return e.toString();
        }
    }
}
