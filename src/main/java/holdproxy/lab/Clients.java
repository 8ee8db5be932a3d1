package holdproxy.lab;

import holdproxy.net.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients of a town, in open loop: requests come by chance at their rate whatever became of those before.
 * Each is asked on a connection that is free, or a new one, of the proxy that the front picks.
 */
final class Clients {
    /**
     * A class of requests.
     *
     * @param name as in the settings
     * @param share of all requests
     * @param waitMs for how long its client waits
     * @param write whether it is one, with an idempotency key
     */
    record RequestClass(String name, double share, int waitMs, boolean write) {
    }

    private static final int CONNECT_MS = 1000;
    private static final double ZIPF = 0.9;

    private final VirtualLoop loop;
    private final Transport network;
    private final TownRecord record;
    private final SplittableRandom random;
    private final List<RequestClass> classes;
    private final List<String> tenants;
    private final double[] keyShares;
    private final double ratePerS;
    private final List<InetSocketAddress> proxies;
    private final List<ArrayDeque<Connection>> free = new ArrayList<>();
    private long untilUs;
    private long asked;

    Clients(VirtualLoop loop, Transport network, TownRecord record, SplittableRandom random,
            List<RequestClass> classes, List<String> tenants, int keys, double ratePerS,
            List<InetSocketAddress> proxies) {
        this.loop = loop;
        this.network = network;
        this.record = record;
        this.random = random;
        this.classes = classes;
        this.tenants = tenants;
        this.ratePerS = ratePerS;
        this.proxies = proxies;
        proxies.forEach(p -> free.add(new ArrayDeque<>()));
        keyShares = new double[keys];
        double sum = 0;
        for (int i = 0; i < keys; i++) {
            sum += Math.pow(i + 1, -ZIPF);
            keyShares[i] = sum;
        }
    }

    /** Asks from now on until this time, in microseconds. */
    void ask(long until) {
        untilUs = until;
        next();
    }

    private void next() {
        long gapUs = (long) (-Math.log(1 - random.nextDouble()) / ratePerS * 1e6);
        if (loop.nowUs() + gapUs < untilUs) {
            loop.after(gapUs, () -> {
                next();
                ask();
            });
        }
    }

    private RequestClass drawClass() {
        double at = random.nextDouble() * classes.stream().mapToDouble(RequestClass::share).sum();
        for (RequestClass c : classes) {
            at -= c.share;
            if (at < 0) {
                return c;
            }
        }
        return classes.get(classes.size() - 1);
    }

    private int drawKey() {
        double at = random.nextDouble() * keyShares[keyShares.length - 1];
        int low = 0;
        for (int high = keyShares.length - 1; low < high;) {
            int middle = (low + high) >>> 1;
            if (keyShares[middle] < at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private void ask() {
        RequestClass c = drawClass();
        String id = Long.toHexString(0x1000_0000L + ++asked);
        String fields = " O" + id + " Pc=" + c.name + ",t=" + tenants.get(random.nextInt(tenants.size()))
            + ",d=" + c.waitMs;
        String key = Integer.toHexString(0xa000 + drawKey());
        String writeKey = "k" + id;
        String bytes = c.write ? "ms " + key + " 5" + fields + ",k=" + writeKey + "\r\nhello\r\n"
            : "mg " + key + " v" + fields + "\r\n";
        int proxy = random.nextInt(proxies.size());
        Connection connection = free.get(proxy).poll();
        if (connection != null) {
            connection.ask(id, c, writeKey, bytes);
            return;
        }
        Connection fresh = new Connection(proxy);
        ChannelFuture connected = network.connect(proxies.get(proxy), CONNECT_MS, new MetaLines(), fresh);
        fresh.channel = connected.channel();
        connected.addListener(f -> {
            if (f.isSuccess()) {
                fresh.ask(id, c, writeKey, bytes);
            }
        });
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaLines.Message> {
        private final int proxy;
        private Channel channel;
        private String waitsFor;

        Connection(int proxy) {
            this.proxy = proxy;
        }

        void ask(String id, RequestClass c, String writeKey, String bytes) {
            waitsFor = id;
            channel.writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
            record.add(loop.nowUs(), Event.Kind.ASKED, "proxy-" + proxy, id,
                c.name + " " + (c.write ? writeKey : "-") + " " + c.waitMs);
            loop.after(c.waitMs * 1000L, () -> leave(id));
        }

        private void leave(String id) {
            if (id.equals(waitsFor)) {
                record.add(loop.nowUs(), Event.Kind.LEFT, "proxy-" + proxy, id, "");
                waitsFor = null;
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaLines.Message answer) {
            // an answer to nobody is put down too: it is for the auditors to judge
            record.add(loop.nowUs(), Event.Kind.ANSWERED, "proxy-" + proxy, waitsFor == null ? "" : waitsFor,
                answer.block() == null ? answer.line() : answer.line() + " " + answer.block());
            if (waitsFor != null) {
                waitsFor = null;
                free.get(proxy).push(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            free.get(proxy).remove(this);
            if (waitsFor != null) {
                record.add(loop.nowUs(), Event.Kind.CUT, "proxy-" + proxy, waitsFor, "");
                waitsFor = null;
            }
        }
    }
}
