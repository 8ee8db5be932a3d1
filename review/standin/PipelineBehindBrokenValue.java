import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Case: a cache node dies in the middle of a large value; commands wait behind it on the connection. */
public final class PipelineBehindBrokenValue {
    private static final int VALUE = 1 << 20;
    private static final int BEFORE_DEATH = 300_000;

    public static void main(String[] arguments) {
        Stand.main(arguments[0], PipelineBehindBrokenValue::run);
    }

    private static int run(Stand stand) throws Exception {
        ConcurrentMap<String, String> ran = new ConcurrentHashMap<>();
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Stand.Node[] self = new Stand.Node[1];
            self[0] =
                    stand.new Node(
                            "s-" + i,
                            i % 2 == 0 ? "room-north" : "room-south",
                            c -> {
                                ran.put(c.id, self[0].id);
                                if (c.key.startsWith("b")) {
                                    large(stand, self[0], c);
                                } else if (c.write) {
                                    Stand.sleep(150); // its work
                                    stand.record(self[0].id + " has done " + c.id + " and answers it");
                                    c.receipt();
                                } else {
                                    Stand.sleep(60);
                                    c.value(Stand.value(100, 'v'));
                                }
                            });
            nodes.add(self[0]);
        }
        Stand.Discovery discovery = stand.new Discovery(nodes);
        Stand.Proxy proxy = stand.new Proxy(discovery, 1024, Stand.SETTINGS);
        Stand.sleep(1_000);
        Map<String, Integer> waitMs = new LinkedHashMap<>(); // of the commands behind the value
        waitMs.put("O00000000000000b2", 1800);
        waitMs.put("O00000000000000c3", 900);
        Socket s = proxy.connect();
        s.getOutputStream()
                .write(
                        Stand.bytes(
                                "mg b00a v O00000000000000a1 Pc=member-record,t=baejarlaug,d=1200\r\n"
                                        + "ms c00b 5 O00000000000000b2 Pc=enrolment,t=baejarlaug,d=1800\r\n"
                                        + "hello\r\n"
                                        + "mg a00c v O00000000000000c3 Pc=card-check,t=baejarlaug,d=900\r\n"));
        long sent = stand.ms();
        stand.record("a client sends three commands at once: a1 (a large value), b2 (an enrolment), c3");
        Map<String, String> answers = read(stand, s);
        List<String> broken = new ArrayList<>();
        waitMs.forEach(
                (id, wait) -> {
                    if (!answers.containsKey(id)) {
                        broken.add(
                                id + " was taken, and sent to cache node " + ran.get(id)
                                        + ", but its connection was ended without an answer to it "
                                        + (stand.ms() - sent) + " ms after it was sent (its time: " + wait + " ms)");
                    }
                });
        if (!stand.trouble && !answers.containsKey("O00000000000000a1")) {
            throw new IOException("the large value was not served without the disruption");
        }
        return stand.result(broken);
    }

    /** The cache node that serves the large value writes it in pieces, and dies in the middle of it. */
    private static void large(Stand stand, Stand.Node node, Stand.Command c) throws Exception {
        c.out.write(Stand.bytes("VA " + VALUE + " " + c.id + "\r\n"));
        for (int from = 0; from < BEFORE_DEATH; from += 10_000) {
            c.out.write(Stand.value(10_000, 'v'));
            Stand.sleep(10);
        }
        if (stand.trouble) {
            stand.record(node.id + " dies; it has sent " + BEFORE_DEATH + " of " + VALUE + " bytes");
            node.die();
            return;
        }
        c.out.write(Stand.value(VALUE - BEFORE_DEATH, 'v'));
        c.out.write(Stand.bytes("\r\n"));
    }

    /** Reads answers for 4 s or until the connection ends; by id, those that are whole. */
    private static Map<String, String> read(Stand stand, Socket s) {
        Map<String, String> answers = new LinkedHashMap<>();
        try {
            s.setSoTimeout(4_000);
            InputStream in = new BufferedInputStream(s.getInputStream());
            for (String line = Stand.line(in); line != null; line = Stand.line(in)) {
                String[] words = line.split(" ");
                stand.record("the client gets " + line);
                if (words[0].equals("VA")) {
                    int length = Integer.parseInt(words[1]);
                    int got = in.readNBytes(length + 2).length;
                    if (got < length + 2) {
                        stand.record("the connection ends after " + got + " of " + length + " bytes of the value");
                        return answers;
                    }
                }
                answers.put(words[0].equals("VA") ? words[2] : words.length > 1 ? words[1] : line, line);
                if (answers.size() == 3) {
                    return answers;
                }
            }
            stand.record("the proxy has closed the connection");
        } catch (SocketTimeoutException e) {
            stand.record("nothing came for 4 s");
        } catch (IOException e) {
            stand.record("the connection ends: " + e.getMessage());
        }
        return answers;
    }
}
