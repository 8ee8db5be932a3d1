import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A proxy with cache nodes, clients that behave, and a reading of the memory that the proxy takes. */
class Site {
    interface NodeFactory {
        Node create(Rig rig, String name) throws IOException;
    }

    /** A request's answer is late when it comes so long after its time. */
    private static final long LATE_MS = 550;

    private static final int WAIT_MS = 900;
    private static final int SOUND_CLIENTS = 4;
    private static final long PAUSE_MS = 80;

    final Rig rig;
    final List<Node> nodes = new ArrayList<>();
    final Rig.Proxy proxy;
    final Discovery discovery;
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    final AtomicLong worstMs = new AtomicLong();
    private volatile boolean ended;
    private volatile long peakPssKb;

    Site(Rig rig, int nodeCount, NodeFactory factory) throws Exception {
        this.rig = rig;
        discovery = new Discovery(rig);
        for (int i = 0; i < nodeCount; i++) {
            Node node = factory.create(rig, "s-" + i);
            nodes.add(node);
            discovery.set(node, "SERVING", 0);
        }
        proxy = rig.new Proxy("n0", discovery.port, "");
        Files.writeString(
                proxy.config,
                Settings.config(
                        "n0", proxy.port, discovery.port, 1024, discovery.list(), Settings.GRADES));
        proxy.start();
        Rig.sleep(1500);
    }

    /** Clients with one read at a time, until {@link #end}. */
    void startSoundClients() {
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            int client = i;
            Rig.daemon("sound-" + i, () -> readOnAndOn(client));
        }
        Rig.daemon("memory", this::watchMemory);
    }

    private void readOnAndOn(int client) {
        int number = 0;
        while (!ended) {
            try (Rig.Client c = new Rig.Client(proxy.port)) {
                while (!ended) {
                    long sentMs = rig.ms();
                    String id = "sound" + client + "x" + number++;
                    c.send(Settings.get("5c0f6e1a2b3d4c5" + number % 10, id, "card-check", WAIT_MS));
                    String answer = c.answer(10_000);
                    long tookMs = rig.ms() - sentMs;
                    worstMs.accumulateAndGet(tookMs, Math::max);
                    answered.incrementAndGet();
                    if (tookMs > WAIT_MS + LATE_MS || answer.startsWith("END") || answer.startsWith("NONE")) {
                        lost.incrementAndGet();
                        rig.note(id + " after " + tookMs + " ms: " + answer);
                    }
                    Rig.sleep(PAUSE_MS);
                }
            } catch (IOException e) {
                lost.incrementAndGet();
                rig.note("a sound client's connection broke: " + e);
                Rig.sleep(PAUSE_MS);
            }
        }
    }

    private void watchMemory() {
        while (!ended && proxy.process.isAlive()) {
            peakPssKb = Math.max(peakPssKb, kilobytes("smaps_rollup", "Pss:"));
            Rig.sleep(200);
        }
    }

    /** A figure of the proxy's process, in kB; 0 if it cannot be read. */
    long kilobytes(String file, String name) {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc/" + proxy.process.pid() + "/" + file))) {
            return lines.filter(l -> l.startsWith(name))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /** The pages of memory that the system's TCP sockets hold, of all processes. */
    static String socketMemory() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/net/sockstat"))) {
            return lines.filter(l -> l.startsWith("TCP:")).findFirst().orElse("");
        } catch (IOException e) {
            return "unknown";
        }
    }

    /** Ends the sound clients; tells what was wrong, or null. */
    String end() {
        ended = true;
        boolean alive = proxy.process.isAlive();
        String figures =
                String.format(
                        "sound: %d answered, %d lost, worst %d ms; peak PSS %d kB, RSS %d kB, now PSS %d kB",
                        answered.get(),
                        lost.get(),
                        worstMs.get(),
                        peakPssKb,
                        kilobytes("status", "VmHWM:"),
                        kilobytes("smaps_rollup", "Pss:"));
        rig.note(figures);
        System.out.println(figures);
        if (!alive) {
            return "the proxy has ended";
        }
        return lost.get() == 0 ? null : lost.get() + " requests of sound clients were lost";
    }
}
