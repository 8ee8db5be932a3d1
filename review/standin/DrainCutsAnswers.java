import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Case: a planned restart while a client is still taking a large value and the answer behind it. */
public final class DrainCutsAnswers {
    private static final int VALUE = 2_000_000;

    /** The client takes this much every {@link #PAUSE_MS}: 2.1 s for all. */
    private static final int PART = 32 * 1024;

    private static final int PAUSE_MS = 35;

    public static void main(String[] arguments) {
        Stand.main(arguments[0], DrainCutsAnswers::run);
    }

    private static int run(Stand stand) throws Exception {
        ConcurrentMap<String, String> ran = new ConcurrentHashMap<>();
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String name = "s-" + i;
            nodes.add(
                    stand.new Node(
                            name,
                            i % 2 == 0 ? "room-north" : "room-south",
                            c -> {
                                ran.put(c.id, name);
                                if (c.write) {
                                    Stand.sleep(150); // its work
                                    stand.record(name + " has done " + c.id + " and answers it");
                                    c.receipt();
                                } else {
                                    c.value(Stand.value(c.key.startsWith("b") ? VALUE : 100, 'v'));
                                }
                            }));
        }
        Stand.Discovery discovery = stand.new Discovery(nodes);
        Stand.Proxy proxy = stand.new Proxy(discovery, 1024, Stand.SETTINGS);
        Stand.sleep(1_500); // SIGTERM comes no earlier than a restart by plan would
        Socket s = proxy.connect(64 * 1024);
        s.getOutputStream()
                .write(
                        Stand.bytes(
                                "mg b00a v O00000000000000a1 Pc=member-record,t=baejarlaug,d=1600\r\n"
                                        + "ms c00b 5 O00000000000000b2 Pc=enrolment,t=baejarlaug,d=2400\r\n"
                                        + "hello\r\n"));
        long sent = stand.ms();
        stand.record("a client sends two commands at once: a1 (a value of 2 MB) and b2 (an enrolment)");
        Stand.thread(
                "time line",
                () -> {
                    Stand.sleep(250);
                    if (stand.trouble) {
                        proxy.signal("TERM");
                    }
                    Stand.sleep(1_200);
                    stand.record("the client sends c3 on the connection, which is open to it");
                    s.getOutputStream()
                            .write(Stand.bytes("mg a00c v O00000000000000c3 Pc=card-check,t=baejarlaug,d=900\r\n"));
                });
        int answers = read(stand, s); // they come in the order of the commands
        List<String> broken = new ArrayList<>();
        List<String> ids = List.of("O00000000000000a1", "O00000000000000b2");
        for (String id : ids) {
            if (ids.indexOf(id) >= answers) {
                broken.add(
                        id + " was taken, and served by cache node " + ran.get(id)
                                + ", but the proxy ended its connection before all of its answer was through, "
                                + (stand.ms() - sent) + " ms after it was sent and "
                                + (stand.ms() - sent - 250) + " ms after SIGTERM (SIGKILL was never sent)");
            }
        }
        stand.record("the proxy's process " + (proxy.process.isAlive() ? "runs" : "has ended"));
        return stand.result(broken);
    }

    /** Reads three answers at the client's pace, or until the connection ends; counts those that are whole. */
    private static int read(Stand stand, Socket s) {
        int answers = 0;
        try {
            s.setSoTimeout(3_000);
            InputStream in = new BufferedInputStream(s.getInputStream(), PART);
            for (String line = Stand.line(in); line != null; line = Stand.line(in)) {
                String[] words = line.split(" ");
                stand.record("the client gets " + line);
                if (words[0].equals("VA")) {
                    int left = Integer.parseInt(words[1]) + 2;
                    while (left > 0) {
                        int got = in.readNBytes(Math.min(left, PART)).length;
                        left -= got;
                        if (got == 0) {
                            stand.record("the connection ends; " + left + " bytes of the value are missing");
                            return answers;
                        }
                        if (left > 0) {
                            Stand.sleep(PAUSE_MS);
                        }
                    }
                    stand.record("the value is whole");
                }
                if (++answers == 3) {
                    return answers;
                }
            }
            stand.record("the connection ends between two answers");
        } catch (IOException e) {
            stand.record("the connection ends: " + e.getMessage());
        }
        return answers;
    }
}
