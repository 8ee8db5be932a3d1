import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Picture (b): one client that sends small or unsound requests on one connection at full speed. */
final class Flood {
    private static final long PLAY_MS = 10_000;
    private static final int BATCH = 64;

    private final Rig rig;
    private final boolean trouble;
    private long sent;
    private volatile boolean ended;

    Flood(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    String run() throws Exception {
        Site site = new Site(rig, 8, Node::new);
        site.startSoundClients();
        Rig.sleep(3000);
        long beforeKb = site.kilobytes("smaps_rollup", "Pss:");
        if (trouble) {
            Rig.daemon("flood", () -> flood(site));
        }
        Rig.sleep(PLAY_MS / 2);
        long halfKb = site.kilobytes("smaps_rollup", "Pss:");
        Rig.sleep(PLAY_MS / 2);
        ended = true;
        Rig.sleep(1000);
        System.out.println(Pictures.variant + ": " + sent + " sent; PSS " + beforeKb + " kB before, " + halfKb + " kB half way");
        return site.end();
    }

    private void flood(Site site) {
        boolean reads = !Pictures.variant.endsWith("-unread");
        while (!ended) {
            try (Rig.Client c = new Rig.Client(site.proxy.port)) {
                if (reads) {
                    Rig.daemon("flood-answers", () -> takeAll(c));
                }
                OutputStream out = c.socket.getOutputStream();
                while (!ended) {
                    StringBuilder batch = new StringBuilder();
                    for (int i = 0; i < BATCH; i++) {
                        batch.append(request(sent++));
                    }
                    out.write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                Rig.sleep(1);
            }
        }
    }

    private static void takeAll(Rig.Client c) {
        try {
            byte[] part = new byte[64 * 1024];
            while (c.read(part, 20_000) >= 0) {
                // thrown away
            }
        } catch (IOException e) {
            // the connection is over
        }
    }

    private static String request(long n) {
        String key = Long.toHexString(n * 0x9e3779b97f4a7c15L);
        return switch (Pictures.variant.replace("-unread", "")) {
            case "mn" -> "mn\r\n";
            case "keys" -> Settings.get(key, "f" + n, "card-check", 900);
            case "classes" -> Settings.get(key, "f" + n, "class" + n, 900);
            case "tenants" -> "mg " + key + " v Of" + n + " Pc=card-check,t=tenant" + n + ",d=900\r\n";
            case "verbs" -> "get" + n + "\r\n" + (n % 8 == 0 ? "mn\r\n" : "");
            case "no-id" -> "mg " + key + "\r\n";
            case "writes" -> Settings.set(key, "f" + n, "enrolment", 900, "v");
            case "renewals" -> Settings.set(key, "f" + n, "renewal", 900, "v");
            case "no-time" -> Settings.get(key, "f" + n, "card-check", 0);
            case "short-time" -> Settings.get(key, "f" + n, "card-check", 1);
            case "empty" -> "\r\n" + (n % 8 == 0 ? "mn\r\n" : "");
            default -> throw new IllegalArgumentException(Pictures.variant);
        };
    }
}
