import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Picture (a): hundreds of clients at once that write or read slowly, or stop half way. */
final class Memory {
    private static final int CLIENTS = 300;
    private static final long PLAY_MS = 30_000;
    private static final int VALUE_BYTES = 4 << 20;
    private static final long MEMORY_KB = 192 * 1024;

    private final Rig rig;
    private final boolean trouble;
    private final AtomicInteger rounds = new AtomicInteger();
    private volatile boolean ended;
    private Site site;

    Memory(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    private static final class CacheNode extends Node {
        CacheNode(Rig rig, String name) throws IOException {
            super(rig, name);
        }

        @Override
        void answer(Request r, Connection c) throws IOException {
            if (r.id.startsWith("Olarge")) {
                value(r, c, VALUE_BYTES);
            } else if (r.id.startsWith("Omedium")) {
                value(r, c, 64 * 1024);
            } else {
                super.answer(r, c);
            }
        }
    }

    String run() throws Exception {
        site = new Site(rig, 8, CacheNode::new);
        site.startSoundClients();
        Rig.sleep(2000);
        String[] all = {"slow-writers", "half-writers", "short-fields", "slow-readers", "medium-readers"};
        for (int i = 0; trouble && i < CLIENTS; i++) {
            int client = i;
            String kind = Pictures.variant.equals("all") ? all[i % all.length] : Pictures.variant;
            Rig.daemon("crowd-" + i, () -> playOnAndOn(kind, client));
        }
        Rig.sleep(PLAY_MS / 2);
        rig.note(Site.socketMemory());
        System.out.println(Site.socketMemory());
        Rig.sleep(PLAY_MS / 2);
        ended = true;
        String broken = site.end();
        System.out.println(rounds + " rounds");
        long peakKb = site.kilobytes("status", "VmHWM:");
        if (broken == null && peakKb > MEMORY_KB) {
            return "it took " + peakKb + " kB";
        }
        return broken;
    }

    private void playOnAndOn(String kind, int client) {
        for (int round = 0; !ended; round++) {
            try (Rig.Client c = new Rig.Client(site.proxy.port, 64 * 1024)) {
                play(kind, c, client + "x" + round);
            } catch (IOException e) {
                Rig.sleep(50);
            }
            rounds.incrementAndGet();
        }
    }

    private void play(String kind, Rig.Client c, String name) throws IOException {
        String key = String.format("%016x", name.hashCode() * 0x9e3779b97f4a7c15L);
        switch (kind) {
            case "slow-writers" -> {
                c.send("ms " + key + " " + VALUE_BYTES + " Ow" + name + " Pc=enrolment,t=baejarlaug,d=2400\r\n");
                byte[] part = new byte[40_000];
                for (int i = 0; i < VALUE_BYTES / part.length && !ended; i++) {
                    c.send(part);
                    Rig.sleep(100);
                }
            }
            case "half-writers" -> {
                c.send("ms " + key + " " + VALUE_BYTES + " Oh" + name + " Pc=enrolment,t=baejarlaug,d=2400\r\n");
                c.send(new byte[VALUE_BYTES / 2]);
                c.answer(8000);
            }
            case "short-fields" -> {
                for (int i = 0; i < 40 && !ended; i++) {
                    String id = "g" + name + "y" + i;
                    c.send(Settings.get(key, id, "card-check", 1200).replace("\r\n", ",b=".repeat(640) + "\r\n"));
                }
                String write = "ms " + key + " 60000 Of" + name + " Pc=enrolment,t=baejarlaug,d=2400";
                c.send(write + ",a=1".repeat(480) + "\r\n");
                c.send(new byte[59_000]);
                c.answer(4000);
                Rig.sleep(3000);
            }
            case "slow-readers" -> {
                c.send(Settings.get(key, "large" + name, "member-record", 2000));
                takeSlowly(c);
            }
            case "medium-readers" -> {
                for (int i = 0; i < 100; i++) {
                    c.send(Settings.get(key, "medium" + name + "y" + i, "member-record", 2000));
                }
                takeSlowly(c);
            }
            default -> throw new IllegalArgumentException(kind);
        }
    }

    private void takeSlowly(Rig.Client c) throws IOException {
        byte[] part = new byte[8_000];
        for (int i = 0; i < 250 && !ended; i++) {
            if (c.read(part, 4000) < 0) {
                return;
            }
            Rig.sleep(100);
        }
    }
}
