import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a client that takes large values slowly leaves; another client's value, on a connection to the same cache node,
 * stops in the middle.
 */
public final class LeavingReader {
    /** Sound clients, each with one read at a time: about 31 reads a second, half of the site's 62. */
    private static final int SOUND = 30;

    /** A sound client's value, which the cache node gives in pieces over 0.8 s. */
    private static final int SOUND_VALUE = 200_000;

    private static final int SOUND_PIECE = 8 * 1024;
    private static final int SOUND_PIECE_PAUSE_MS = 32;

    /** What the sockets' buffers hold for a slow client is between these; it reads more at once. */
    private static final int[] BUFFERED_LEAST = {3_800_000, 2_200_000};

    private static final int[] BUFFERED_MOST = {4_500_000, 4_500_000};

    /** The first value of a slow client is the least that is buffered; the sizes of the others are between these. */
    private static final int SLOW_VALUE_LEAST = 68_000;

    private static final int SLOW_VALUE_MOST = 98_000;

    /** The slow client takes this much every {@link #SLOW_PAUSE_MS}. */
    private static final int SLOW_PART = 16 * 1024;

    private static final int SLOW_PAUSE_MS = 100;
    private static final int SLOW_STAYS_MS = 1_600;

    /** So many slow clients are there at once, and so many times one after another. */
    private static final int SLOW = 4;

    private static final int ROUNDS = 30;

    /** "holding the rest back for 2 s loses the request", and 50 ms. */
    private static final int HELD_BACK_MS = 2_050;

    /** What the sound client waits beyond that. */
    private static final int WATCHED_MS = 12_000;

    /** When a cache node had given the whole value of this id. */
    private final Map<String, Long> given = new ConcurrentHashMap<>();

    private final List<String> broken = new CopyOnWriteArrayList<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final Stand stand;
    private volatile boolean ended;

    private LeavingReader(Stand stand) {
        this.stand = stand;
    }

    public static void main(String[] arguments) {
        Stand.main(arguments[0], stand -> new LeavingReader(stand).run());
    }

    private int run() throws Exception {
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            nodes.add(stand.new Node("s-" + i, i % 2 == 0 ? "room-north" : "room-south", this::serve));
        }
        Stand.Discovery discovery = stand.new Discovery(nodes);
        Stand.Proxy proxy = stand.new Proxy(discovery, 1024, Stand.SETTINGS);
        List<Thread> sound = new ArrayList<>();
        for (int i = 0; i < SOUND; i++) {
            int number = i;
            sound.add(Stand.thread("sound client", () -> soundClient(proxy, number)));
            Stand.sleep(30);
        }
        Stand.sleep(2_000);
        List<Thread> slow = new ArrayList<>();
        for (int i = 0; i < SLOW; i++) {
            int number = i;
            slow.add(Stand.thread("slow clients", () -> slowClients(proxy, number)));
            Stand.sleep(500);
        }
        for (Thread t : slow) {
            t.join();
        }
        Stand.sleep(3_000); // what is held back by now is found
        ended = true;
        for (Thread t : sound) {
            t.join(WATCHED_MS + 8_000);
        }
        stand.record("values that sound clients got whole: " + whole);
        if (whole.get() == 0) {
            throw new IOException("nothing was served at all");
        }
        return stand.result(broken);
    }

    /** A cache node: the size of a value is in its key. */
    private void serve(Stand.Command c) throws Exception {
        int size = Integer.parseInt(c.key.substring(1, 8));
        boolean slowly = c.key.startsWith("b");
        Stand.sleep(40); // its work
        if (!slowly) {
            c.value(Stand.value(size, 's'));
            return;
        }
        c.out.write(Stand.bytes("VA " + size + " " + c.id + "\r\n"));
        byte[] value = Stand.value(size, 'v');
        for (int from = 0; from < size; from += SOUND_PIECE) {
            c.out.write(value, from, Math.min(SOUND_PIECE, size - from));
            Stand.sleep(SOUND_PIECE_PAUSE_MS);
        }
        c.out.write(Stand.bytes("\r\n"));
        given.put(c.id, stand.ms());
    }

    private static String read(char kind, int size, int key, long id) {
        return String.format("mg %c%07d%04x v O%016x Pc=member-record,t=baejarlaug,d=1600", kind, size, key, id);
    }

    // ---- the client that leaves ----

    /** One slow client after another. */
    private void slowClients(Stand.Proxy proxy, int number) throws IOException {
        Random random = new Random(5 + number);
        for (int round = 0; round < ROUNDS && broken.isEmpty(); round++) {
            slowClient(proxy, SLOW * round + number, random);
            Stand.sleep(400);
        }
    }

    /** Reads many values at once, takes them slowly, and leaves; without the disruption it takes them to their end. */
    private void slowClient(Stand.Proxy proxy, int round, Random random) throws IOException {
        Socket s = proxy.connect(64 * 1024);
        StringBuilder commands = new StringBuilder();
        int kind = round % 4 == 3 ? 1 : 0;
        int bytes = 0;
        int count = 0;
        for (; bytes < BUFFERED_MOST[kind]; count++) {
            int size =
                    count == 0
                            ? BUFFERED_LEAST[kind]
                            : SLOW_VALUE_LEAST + random.nextInt(SLOW_VALUE_MOST - SLOW_VALUE_LEAST);
            bytes += size;
            commands.append(read('c', size, round * 256 + count, 0x5000000L + round * 256 + count)).append("\r\n");
        }
        s.getOutputStream().write(Stand.bytes(commands.toString()));
        stand.record("slow client " + round + " reads " + count + " values, " + bytes + " bytes in all");
        InputStream in = s.getInputStream();
        byte[] part = new byte[SLOW_PART];
        long until = stand.ms() + SLOW_STAYS_MS;
        long taken = 0;
        while (stand.ms() < until) {
            taken += in.read(part);
            Stand.sleep(SLOW_PAUSE_MS);
        }
        if (stand.trouble) {
            s.close();
            stand.record("slow client " + round + " leaves; it has taken " + taken + " bytes");
            return;
        }
        while (taken < bytes) {
            int n = in.read(part);
            if (n < 0) {
                break;
            }
            taken += n;
        }
        s.close();
        stand.record("slow client " + round + " has taken " + taken + " bytes, which is all");
    }

    // ---- the clients that nothing should happen to ----

    private void soundClient(Stand.Proxy proxy, int number) throws IOException {
        Socket s = proxy.connect();
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (int n = 0; !ended; n++) {
            long id = 0x6000000L + number * 4096 + n;
            String line = read('b', SOUND_VALUE, number * 16 + n % 16, id);
            s.getOutputStream().write(Stand.bytes(line + "\r\n"));
            long sent = stand.ms();
            s.setSoTimeout(HELD_BACK_MS + 1_000);
            int got = 0;
            int size = 0;
            try {
                String head = Stand.line(in);
                if (head == null || !head.startsWith("VA ")) {
                    stand.record("sound client sent " + line + "; got " + head);
                    if (head == null) {
                        return;
                    }
                    continue;
                }
                size = Integer.parseInt(head.split(" ")[1]) + 2;
                while (got < size) {
                    int more = in.read(new byte[Math.min(1 << 16, size - got)]);
                    if (more < 0) {
                        broken.add(line + ": the proxy ended the connection after " + got + " of " + size + " bytes");
                        return;
                    }
                    got += more;
                }
                whole.incrementAndGet();
                stand.record("sound client sent " + line + "; got it whole after " + (stand.ms() - sent) + " ms");
            } catch (SocketTimeoutException e) {
                heldBack(s, in, line, String.format("O%016x", id), got, size, sent);
                return;
            }
            Stand.sleep(100);
        }
        s.close();
    }

    /** Nothing has come for over 3 s. */
    private void heldBack(Socket s, InputStream in, String line, String id, int got, int size, long sent)
            throws IOException {
        Long givenAt = given.get(id);
        if (size == 0 || givenAt == null || stand.ms() - givenAt < HELD_BACK_MS) {
            stand.record("sound client sent " + line + "; nothing came for 3 s, " + got + " bytes before");
            return;
        }
        broken.add(
                line + ": " + got + " of " + size + " bytes have come, nothing since 3 s; its cache node had given all "
                        + (givenAt - sent) + " ms after it was sent");
        stand.record("held back: " + line + ", " + got + " of " + size + " bytes");
        s.setSoTimeout(WATCHED_MS);
        try {
            int next = in.read();
            stand.record(id + ": then the proxy " + (next < 0 ? "ended the connection" : "went on"));
        } catch (SocketTimeoutException e) {
            stand.record(id + ": nothing more in " + WATCHED_MS + " ms; the connection is still open");
        } catch (IOException e) {
            stand.record(id + ": then the connection broke: " + e.getMessage());
        }
    }
}
