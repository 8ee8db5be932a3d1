import java.io.InputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Case: one peer sends 60 MB of lines that are no request, and reads what it is answered. */
public final class OneFloodingPeer {
    private static final int BLOCK = 1 << 20;
    private static final int BLOCKS = 60;

    public static void main(String[] arguments) {
        Stand.main(arguments[0], OneFloodingPeer::run);
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
        if (stand.trouble) {
            peer(stand, proxy);
        }
        Stand.sleep(10_000);
        clients.end();
        if (clients.served.get() == 0) {
            throw new IOException("nothing was served at all");
        }
        return stand.result(clients.lost);
    }

    private static void peer(Stand stand, Stand.Proxy proxy) {
        Stand.thread(
                "peer",
                () -> {
                    Socket s = proxy.connect();
                    AtomicLong got = new AtomicLong();
                    Stand.thread("peer reads", () -> read(stand, s, got));
                    byte[] lines = Stand.bytes("x\r\n".repeat(BLOCK / 3));
                    OutputStream out = s.getOutputStream();
                    stand.record("a peer begins to send " + BLOCKS + " MB of lines x");
                    try {
                        for (int i = 0; i < BLOCKS; i++) {
                            out.write(lines);
                            stand.record("the peer has sent " + (i + 1) + " MB and got " + got + " bytes");
                        }
                    } catch (IOException e) {
                        stand.record("the peer's connection has ended: " + e.getMessage());
                    }
                });
    }

    private static void read(Stand stand, Socket s, AtomicLong got) throws IOException {
        InputStream in = s.getInputStream();
        byte[] buffer = new byte[1 << 16];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            if (got.getAndAdd(n) == 0) {
                stand.record("the peer gets its first bytes: "
                        + new String(buffer, 0, Math.min(n, 5), java.nio.charset.StandardCharsets.ISO_8859_1));
            }
        }
    }
}
