import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case: a client takes its values slowly but steadily; the proxy ends its connection as that of one that takes nothing. */
public final class SlowReader {
    /** The largest value of our pages. */
    private static final int VALUE = 4 << 20;

    private static final int VALUES = 2;

    /** The slow client takes this much every {@link #PAUSE_MS}: 100 kB a second. */
    private static final int PART = 10_000;

    private static final int PAUSE_MS = 100;

    /** After this time it takes the rest at once, so that the case ends in time. */
    private static final int SLOW_FOR_MS = 25_000;

    private static final int END_MS = 60_000;

    public static void main(String[] arguments) {
        Stand.main(arguments[0], SlowReader::run);
    }

    private static int run(Stand stand) throws Exception {
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String name = "s-" + i;
            nodes.add(
                    stand.new Node(
                            name,
                            i % 2 == 0 ? "room-north" : "room-south",
                            c -> {
                                Stand.sleep(50); // its work
                                if (!c.key.startsWith("b")) {
                                    c.value(Stand.value(100, 'v'));
                                    return;
                                }
                                try {
                                    c.value(Stand.value(VALUE, 'v'));
                                    stand.record(name + " has given all of " + c.id);
                                } catch (IOException e) {
                                    stand.record(
                                            name + " still gives " + c.id + ", but its connection is ended: "
                                                    + e.getMessage());
                                }
                            }));
        }
        Stand.Discovery discovery = stand.new Discovery(nodes);
        Stand.Proxy proxy = stand.new Proxy(discovery, 1024, Stand.SETTINGS);
        Stand.Clients clients = stand.new Clients(proxy, 4, 70); // about 31 requests a second
        Stand.sleep(2_000);
        Socket s = proxy.connect(64 * 1024);
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < VALUES; i++) {
            commands.append(
                    String.format("mg b%03x v O%016x Pc=member-record,t=baejarlaug,d=1600\r\n", i, 0x4000000L + i));
        }
        s.getOutputStream().write(Stand.bytes(commands.toString()));
        stand.record("a client sends " + VALUES + " reads at once; their values have " + VALUE + " bytes each");
        Reader reader = new Reader(stand, s.getInputStream());
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < VALUES; i++) {
            try {
                String head = reader.line();
                stand.record("the client gets " + head);
                if (!head.startsWith("VA ")) {
                    throw new IOException("no value but " + head);
                }
                reader.skip(Integer.parseInt(head.split(" ")[1]) + 2);
                stand.record("value " + i + " is whole");
            } catch (EOFException e) {
                broken.add(
                        "the proxy ended the connection in value " + i + " of a client that had never taken less than "
                                + reader.leastInASecond + " bytes in a second; it got " + reader.taken + " bytes in all");
                break;
            }
        }
        clients.end();
        if (clients.served.get() == 0) {
            throw new IOException("nothing was served at all");
        }
        return stand.result(broken);
    }

    /** Reads at the client's pace. */
    private static final class Reader {
        private final Stand stand;
        private final InputStream in;
        private final byte[] buffer = new byte[PART];
        private final long startMs;
        private int at;
        private int filled;
        private long taken;
        private long secondEndsMs;
        private long takenBefore;
        private long leastInASecond = Long.MAX_VALUE;

        Reader(Stand stand, InputStream in) {
            this.stand = stand;
            this.in = in;
            startMs = stand.ms();
            secondEndsMs = startMs + 1_000;
        }

        private int next() throws IOException {
            if (at == filled) {
                filled = in.read(buffer);
                at = 0;
                if (filled < 0) {
                    filled = 0;
                    throw new EOFException();
                }
                taken += filled;
                long now = stand.ms();
                if (now - startMs > END_MS) {
                    throw new IOException("the client is not done in time");
                }
                boolean slow = stand.trouble && now - startMs < SLOW_FOR_MS;
                if (now >= secondEndsMs) {
                    stand.record("the client has taken " + taken + " bytes");
                    leastInASecond = Math.min(leastInASecond, taken - takenBefore);
                    takenBefore = taken;
                    secondEndsMs = now + 1_000;
                }
                if (slow) {
                    Stand.sleep(PAUSE_MS);
                }
            }
            return buffer[at++];
        }

        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = next(); b != '\n'; b = next()) {
                line.append((char) b);
            }
            return line.toString().strip();
        }

        void skip(int bytes) throws IOException {
            for (int i = 0; i < bytes; i++) {
                next();
            }
        }
    }
}
