import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case: many peers each send most of a write and stay. */
public final class HalfSentWrites {
    /** Under a third of the descriptors, which is what clients with requests may hold. */
    private static final int PEERS = 300;

    /** The largest value of the protocol page. */
    private static final int VALUE = 64 * 1024;

    private static final int SENT = VALUE - 16;

    private static final int PIECE = 8 * 1024;

    public static void main(String[] arguments) {
        Stand.main(arguments[0], HalfSentWrites::run);
    }

    private static int run(Stand stand) throws Exception {
        Stand.Behaviour serve =
                c -> {
                    Stand.sleep(50);
                    if (c.write) {
                        c.receipt();
                    } else {
                        c.value(Stand.value(100, 'v'));
                    }
                };
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(stand.new Node("s-" + i, i % 2 == 0 ? "room-north" : "room-south", serve));
        }
        Stand.Discovery discovery = stand.new Discovery(nodes);
        Stand.Proxy proxy = stand.new Proxy(discovery, 1024, Stand.SETTINGS);
        // 4 connections, about 31 requests a second: half of the site's 62, for one of two proxies
        Stand.Clients clients = stand.new Clients(proxy, 4, 70);
        Stand.sleep(4_000);
        List<Socket> peers = new ArrayList<>();
        if (stand.trouble) {
            for (int i = 0; i < PEERS; i++) {
                peers.add(proxy.connect());
            }
            stand.record(PEERS + " peers have connected");
            for (int i = 0; i < PEERS; i++) {
                Socket s = peers.get(i);
                String line = "ms " + String.format("%x", 0xd000 + i) + " " + VALUE
                        + String.format(" O%016x", 0x2000000L + i)
                        + " Pc=renewal,t=golfklubbur,d=2400,k=" + String.format("%016x", 0x3000000L + i);
                Stand.thread("peer", () -> send(stand, s, line));
            }
            Stand.sleep(200);
            stand.record("each peer has sent its line and " + SENT + " of " + VALUE + " bytes, and stays");
        }
        Stand.sleep(6_000);
        for (Socket s : peers) {
            s.close();
        }
        stand.record("the peers have gone");
        Stand.sleep(4_000);
        clients.end();
        if (clients.served.get() == 0) {
            throw new IOException("nothing was served at all");
        }
        return stand.result(clients.lost);
    }

    private static void send(Stand stand, Socket s, String line) throws IOException {
        stand.record("a peer begins to send " + line);
        OutputStream out = s.getOutputStream();
        out.write(Stand.bytes(line + "\r\n"));
        byte[] value = Stand.value(SENT, 'w');
        for (int from = 0; from < SENT; from += PIECE) {
            out.write(value, from, Math.min(PIECE, SENT - from));
            Stand.sleep(10);
        }
    }
}
