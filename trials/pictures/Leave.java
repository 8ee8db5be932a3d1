import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Picture (c): clients that close their connections with much of what they sent still unread. */
final class Leave {
    private static final long LATE_MS = 150;
    private static final int LARGE_BYTES = 1_000_000;
    private static final int BYTES_PER_MS = 500;

    private final Rig rig;
    private final boolean trouble;
    private final Map<String, Long> left = new LinkedHashMap<>();

    Leave(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    /** Takes what is sent at 0.5 MB/s on each connection, where slow. */
    private static final class CacheNode extends Node {
        CacheNode(Rig rig, String name) throws IOException {
            super(rig, name);
        }

        @Override
        int receiveBuffer() {
            return Pictures.variant.startsWith("large") ? 64 * 1024 : 0;
        }

        @Override
        InputStream input(InputStream in) {
            return Pictures.variant.startsWith("large") ? new PacedInput(in, BYTES_PER_MS) : in;
        }
    }

    String run() throws Exception {
        Site site = new Site(rig, 8, CacheNode::new);
        site.startSoundClients();
        Rig.sleep(1000);
        switch (Pictures.variant) {
            case "burst-500" -> bursts(site, 5, 500, "card-check");
            case "burst-2000" -> bursts(site, 5, 2000, "card-check");
            case "burst-10000" -> bursts(site, 5, 10_000, "card-check");
            case "burst-writes" -> bursts(site, 5, 2000, "enrolment");
            case "large-again" -> again(site);
            default -> throw new IllegalArgumentException(Pictures.variant);
        }
        Rig.sleep(4000);
        String broken = site.end();
        return broken != null ? broken : verdict(site);
    }

    /** Clients that send very many requests at once, read nothing and close. */
    private void bursts(Site site, int clients, int requests, String grade) throws Exception {
        for (int round = 0; round < 3; round++) {
            Thread[] threads = new Thread[clients];
            for (int i = 0; i < clients; i++) {
                String name = "r" + round + "c" + i + "x";
                threads[i] = new Thread(() -> burst(site, name, requests, grade));
                threads[i].start();
            }
            for (Thread t : threads) {
                t.join();
            }
            Rig.sleep(3000);
        }
    }

    private void burst(Site site, String name, int requests, String grade) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            String key = String.format("%016x", (name + i).hashCode() * 0x9e3779b97f4a7c15L);
            all.append(
                    grade.equals("enrolment")
                            ? Settings.set(key, name + i, grade, 2400, "a record")
                            : Settings.get(key, name + i, grade, 1200));
        }
        try (Rig.Client c = new Rig.Client(site.proxy.port)) {
            c.send(all.toString());
            if (!trouble) {
                for (int i = 0; i < requests; i++) {
                    c.answer(3000);
                }
            }
        } catch (IOException e) {
            rig.note(name + ": " + e);
        }
        long nowMs = rig.ms();
        synchronized (left) {
            for (int i = 0; i < requests; i++) {
                left.put("O" + name + i, nowMs);
            }
        }
    }

    /** Clients that leave while a large write is sent on, and come again with the same id. */
    private void again(Site site) throws Exception {
        String value = "v".repeat(LARGE_BYTES);
        for (int i = 0; i < 10; i++) {
            String key = String.format("%016x", (i + 1) * 0x9e3779b97f4a7c15L);
            String request = Settings.set(key, "again" + i, "enrolment", 2900, value);
            if (trouble) {
                try (Rig.Client c = new Rig.Client(site.proxy.port)) {
                    c.send(request);
                    Rig.sleep(300);
                }
            }
            try (Rig.Client c = new Rig.Client(site.proxy.port)) {
                c.send(request);
                rig.note("again" + i + ": " + c.answer(5000));
            }
        }
    }

    private String verdict(Site site) {
        int late = 0;
        long worstMs = 0;
        int begun = 0;
        int twice = 0;
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (Node n : site.nodes) {
            for (Node.Request r : n.requests) {
                twice += runs.merge(r.id, 1, Integer::sum) == 2 && r.verb.equals("ms") ? 1 : 0;
                Long leftMs = left.get(r.id);
                if (leftMs == null) {
                    continue;
                }
                begun++;
                worstMs = Math.max(worstMs, r.atMs - leftMs);
                late += r.atMs > leftMs + LATE_MS ? 1 : 0;
            }
        }
        String figures =
                String.format(
                        "%d begun of %d, %d late, worst %d ms; %d writes ran twice",
                        begun, left.size(), late, worstMs, twice);
        System.out.println(figures);
        return late + twice == 0 ? null : figures;
    }
}
