package holdproxy.emulator;

import holdproxy.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The clients of an emulated site, as an open-loop load: new operations arrive at random at the set rate,
 * whatever became of earlier ones. Each try goes to the proxy that the front picks, on an idle connection or
 * a new one; a client waits for 50 to 80% of its class's give-up time and tries again after a pause.
 */
public final class Clients {
    private static final int CONNECT_MS = 1000;
    private static final double MIN_WAIT = 0.5;
    private static final double MAX_WAIT = 0.8;
    private static final double MIN_PAUSE_MS = 20;
    private static final double MAX_PAUSE_MS = 160;

    private final Scheduler loop;

    /** The network of each zone's clients, indexed by zone. */
    private final List<? extends Transport> networks;

    private final SiteRecord record;
    private final SplittableRandom random;
    private final Load load;
    private final List<String> tenants;
    private final LoadBalancer front;
    private final double[] cumulativeKeyWeights;
    private final double[] rateFactors;
    private final int proxies;

    /** Idle connections, at index zone * proxies + proxy. */
    private final List<ArrayDeque<Connection>> idleConnections = new ArrayList<>();

    /** Ids of the open requests that a proxy has read. */
    private final Set<String> readRequests = new HashSet<>();

    private boolean countsReadWhenWritten;
    private double hotKeyShare;
    private long untilUs;
    private long operations;

    /** Creates clients that send nothing before {@link #start}. */
    public Clients(
            Scheduler loop,
            List<? extends Transport> networks,
            SiteRecord record,
            SplittableRandom random,
            Load load,
            List<String> tenants,
            LoadBalancer front,
            int proxies) {
        this.loop = loop;
        this.networks = networks;
        this.record = record;
        this.random = random;
        this.load = load;
        this.tenants = tenants;
        this.front = front;
        rateFactors = new double[tenants.size()];
        Arrays.fill(rateFactors, 1);
        this.proxies = proxies;
        for (int i = 0; i < proxies * networks.size(); i++) {
            idleConnections.add(new ArrayDeque<>());
        }
        cumulativeKeyWeights = new double[load.keys()];
        double sum = 0;
        for (int i = 0; i < cumulativeKeyWeights.length; i++) {
            sum += Math.pow(i + 1, -load.zipf());
            cumulativeKeyWeights[i] = sum;
        }
    }

    /** The key with popularity rank n, from 0. */
    public static String key(int n) {
        return Integer.toHexString(0xa000 + n);
    }

    /** Sends requests from now on until this time, in microseconds. */
    public void start(long until) {
        untilUs = until;
        scheduleNext();
    }

    /**
     * Counts a request as read by the proxy as soon as it is written, for runs where the proxies' networks
     * are not observed by {@link #recordReads}: a request may then have run when its connection closes, and
     * isn't sent once more for that.
     */
    public void countReadWhenWritten() {
        countsReadWhenWritten = true;
    }

    /** Multiplies a club's request rate by this factor from now on. */
    public void setRateFactor(int club, double factor) {
        rateFactors[club] = factor;
    }

    /** Sends this part of all reads to a single key from now on. */
    public void setHotKeyShare(double part) {
        hotKeyShare = part;
    }

    /** Wraps a proxy's network so as to record which client requests the proxy has read. */
    public Transport recordReads(String proxy, Transport inner) {
        return new Transport() {
            @Override
            public ChannelFuture connect(
                    InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
                return inner.connect(address, timeoutMs, handlers);
            }

            @Override
            public ChannelFuture listen(
                    InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
                return inner.listen(
                        address,
                        () ->
                                Stream.concat(
                                                Stream.of(readRecorder(proxy)),
                                                Stream.of(handlers.get()))
                                        .toArray(ChannelHandler[]::new));
            }

            @Override
            public void shutdownOutput(Channel channel) {
                inner.shutdownOutput(channel);
            }

            @Override
            public void afterReads(Runnable task, boolean late) {
                inner.afterReads(task, late);
            }
        };
    }

    private ChannelHandler readRecorder(String proxy) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                // clients write each request at once, so one message holds one request
                String text = ((ByteBuf) message).toString(StandardCharsets.ISO_8859_1);
                int at = text.indexOf(" O") + 2;
                String id = text.substring(at, text.indexOf(' ', at));
                readRequests.add(id);
                record.add(loop.nowUs(), Event.Kind.TAKEN, proxy, id, "");
                ctx.fireChannelRead(message);
            }
        };
    }

    private double weight(int club) {
        return load.clubs().get(club) * rateFactors[club];
    }

    private double totalWeight() {
        double sum = 0;
        for (int i = 0; i < rateFactors.length; i++) {
            sum += weight(i);
        }
        return sum;
    }

    private void scheduleNext() {
        long gapUs =
                (long)
                        (-Math.log(1 - random.nextDouble())
                                / (load.ratePerS() * totalWeight())
                                * 1e6);
        if (loop.nowUs() + gapUs < untilUs) {
            loop.schedule(
                    gapUs,
                    () -> {
                        scheduleNext();
                        new Operation().sendTry();
                    });
        }
    }

    private RequestClass drawClass() {
        double at = random.nextDouble();
        for (RequestClass c : RequestClass.ALL) {
            at -= c.share();
            if (at < 0) {
                return c;
            }
        }
        return RequestClass.ALL.get(0);
    }

    private String drawTenant() {
        double at = random.nextDouble() * totalWeight();
        for (int i = 0; i < rateFactors.length; i++) {
            at -= weight(i);
            if (at < 0) {
                return tenants.get(i);
            }
        }
        return tenants.get(0);
    }

    private int drawKey() {
        double at = random.nextDouble() * cumulativeKeyWeights[cumulativeKeyWeights.length - 1];
        int low = 0;
        for (int high = cumulativeKeyWeights.length - 1; low < high; ) {
            int middle = (low + high) >>> 1;
            if (cumulativeKeyWeights[middle] < at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** One operation of a client; each of its tries is a request with its own id. */
    private final class Operation {
        private final RequestClass type = drawClass();
        private final String tenant = drawTenant();
        private final String key =
                key(
                        !type.isWrite() && hotKeyShare > 0 && random.nextDouble() < hotKeyShare
                                ? 0
                                : drawKey());
        private final int zone = networks.size() == 1 ? 0 : random.nextInt(networks.size());
        private final String number = Long.toHexString(0x100_0000L + ++operations);
        private int tries;
        private boolean resent;
        private int timeoutMs;

        Operation() {
            record.add(
                    loop.nowUs(),
                    Event.Kind.WANTED,
                    tenant,
                    number,
                    networks.size() == 1 ? type.name() : type.name() + " " + zone);
        }

        void sendTry() {
            tries++;
            resent = false;
            timeoutMs = (int) (type.deadlineMs() * random.nextDouble(MIN_WAIT, MAX_WAIT));
            send();
        }

        private String id() {
            return number + Integer.toHexString(tries);
        }

        private String bytes() {
            String fields =
                    " O"
                            + id()
                            + " Pc="
                            + type.name()
                            + ",t="
                            + tenant
                            + ",d="
                            + timeoutMs
                            + (tries > 1 ? ",r=1" : "");
            return type.isWrite()
                    ? "ms " + key + " 5" + fields + ",k=k" + number + "\r\nhello\r\n"
                    : "mg " + key + " v" + fields + "\r\n";
        }

        private void send() {
            int proxy = front.pick(random, zone);
            Connection connection = idleConnections.get(zone * proxies + proxy).poll();
            if (connection != null) {
                connection.send(this);
                return;
            }
            Connection fresh = new Connection(proxy, zone);
            ChannelFuture connected =
                    networks.get(zone)
                            .connect(
                                    front.address(proxy),
                                    CONNECT_MS,
                                    new MetaProtocolDecoder(),
                                    fresh);
            fresh.channel = connected.channel();
            connected.addListener(
                    f -> {
                        if (f.isSuccess()) {
                            fresh.send(this);
                        } else {
                            retry(0);
                        }
                    });
        }

        /** Tries again after a pause of at least {@code adviceMs}, if a retry is left. */
        private void retry(long adviceMs) {
            if (tries <= load.retries()) {
                double pauseMs =
                        random.nextDouble(MIN_PAUSE_MS, MAX_PAUSE_MS) * (1L << (tries - 1));
                loop.schedule((long) (1000 * Math.max(adviceMs, pauseMs)), this::sendTry);
            }
        }

        private void handleAnswer(String line) {
            readRequests.remove(id());
            if (line.startsWith(MetaProtocolDecoder.BUSY)) {
                String advice = line.substring(MetaProtocolDecoder.BUSY.length()).strip();
                retry(advice.isEmpty() ? 0 : Long.parseLong(advice));
            } else if (!MetaProtocolDecoder.isServed(line)) {
                retryUnlessOnceOnly();
            }
        }

        private void timedOut() {
            readRequests.remove(id());
            retryUnlessOnceOnly();
        }

        /** The request may have run: tries again unless its class may run at most once. */
        private void retryUnlessOnceOnly() {
            if (!type.onceOnly()) {
                retry(0);
            }
        }

        private void connectionClosed() {
            boolean unread = !readRequests.remove(id());
            if (unread && !resent) {
                // the proxy closed the connection before it read the request: resend it, once
                resent = true;
                send();
            } else {
                retryUnlessOnceOnly();
            }
        }
    }

    private final class Connection
            extends SimpleChannelInboundHandler<MetaProtocolDecoder.Message> {
        private final int proxy;
        private final ArrayDeque<Connection> idle;
        private Channel channel;
        private Operation current;

        Connection(int proxy, int zone) {
            this.proxy = proxy;
            idle = idleConnections.get(zone * proxies + proxy);
        }

        private void recordEvent(Event.Kind kind, String id, String detail) {
            record.add(loop.nowUs(), kind, "proxy-" + proxy, id, detail);
        }

        void send(Operation operation) {
            current = operation;
            String id = operation.id();
            channel.writeAndFlush(
                    Unpooled.copiedBuffer(operation.bytes(), StandardCharsets.ISO_8859_1));
            if (countsReadWhenWritten) {
                readRequests.add(id);
                recordEvent(Event.Kind.TAKEN, id, "");
            }
            recordEvent(
                    Event.Kind.ASKED,
                    id,
                    operation.type.name()
                            + " "
                            + (operation.type.isWrite() ? "k" + operation.number : "-")
                            + " "
                            + operation.timeoutMs);
            loop.schedule(operation.timeoutMs * 1000L, () -> giveUp(operation, id));
        }

        private void giveUp(Operation operation, String id) {
            if (current == operation && operation.id().equals(id)) {
                recordEvent(Event.Kind.LEFT, id, "");
                current = null;
                channel.close();
                operation.timedOut();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaProtocolDecoder.Message answer) {
            Operation operation = current;
            // an answer without an open request is recorded too, for the auditors to report
            recordEvent(
                    Event.Kind.ANSWERED,
                    operation == null ? "" : operation.id(),
                    answer.block() == null ? answer.line() : answer.line() + " " + answer.block());
            if (operation != null) {
                current = null;
                idle.push(this);
                operation.handleAnswer(answer.line());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (current != null) {
                Operation unanswered = current;
                recordEvent(Event.Kind.CUT, unanswered.id(), "");
                current = null;
                unanswered.connectionClosed();
            }
        }
    }
}
