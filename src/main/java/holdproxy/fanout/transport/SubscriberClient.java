package holdproxy.fanout.transport;

import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.Message;
import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Subscriber;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * A {@link Subscriber} on TCP, with one connection at a time. Any number of clients may share an event
 * loop. Call it only on the context's event loop.
 */
public final class SubscriberClient implements AutoCloseable {
    private static final int US_PER_MS = 1_000;
    private static final long NO_LINK = -1;

    private final String name;
    private final TransportContext context;
    private final FrameCodec codec;
    private final DueTimer timer;
    private final Subscriber subscriber;
    private long linkNumber = NO_LINK;
    private MessageLink link;

    /**
     * Creates a client that is not started; the parameters are those of {@link Subscriber}.
     *
     * @param below supplies the report on the proxies below a relay; null for a proxy
     */
    public SubscriberClient(
            TransportContext context,
            String name,
            Replica replica,
            Subscriber.Consumer consumer,
            Supplier<CoverageReport> below,
            RandomGenerator random) {
        this.name = name;
        this.context = context;
        codec = new FrameCodec(context.settings());
        timer = new DueTimer(context.loop(), context.nowUs(), this::tick);
        subscriber =
                new Subscriber(
                        name,
                        context.settings(),
                        replica,
                        consumer,
                        below,
                        new Outgoing(),
                        random,
                        context.now());
    }

    /** Sets the candidates, best first; the first call starts the client. */
    public void candidates(List<RelayCandidate> ordered) {
        subscriber.candidates(context.now(), ordered);
        wake();
    }

    /** The subscriber, for its status and replica. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Closes the connection and does not dial again. */
    @Override
    public void close() {
        subscriber.stop(context.now());
        timer.close();
    }

    private void tick() {
        subscriber.tick(context.now());
        wake();
    }

    private void wake() {
        timer.due(subscriber.dueUs());
    }

    private void dial(long number, RelayCandidate candidate) {
        linkNumber = number;
        link = null;
        InetSocketAddress address;
        try {
            address = context.addresses().apply(candidate.address());
        } catch (RuntimeException e) {
            fail(number, candidate, e.getMessage());
            return;
        }
        int timeoutMs = (int) (context.settings().subscriber().connectTimeoutMostUs() / US_PER_MS);
        ChannelFuture dialled =
                new Bootstrap()
                        .group(context.loop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                MessageLink.waterMark(context.settings()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        opening(number, candidate, channel);
                                    }
                                })
                        .connect(address);
        dialled.addListener(
                connecting -> {
                    if (!connecting.isSuccess() && number == linkNumber) {
                        fail(number, candidate, connecting.cause().getMessage());
                    }
                });
    }

    private void opening(long number, RelayCandidate candidate, SocketChannel channel) {
        MessageLink opened =
                new MessageLink(channel, text(candidate), context, codec, new Receiving(number));
        opened.install();
        if (number == linkNumber) {
            link = opened;
        } else {
            opened.close();
        }
    }

    /** Notifies the subscriber asynchronously, since this may run during one of its calls. */
    private void fail(long number, RelayCandidate candidate, String reason) {
        context.counters().dialsFailed.increment();
        context.log().accept(name + " cannot reach " + text(candidate) + ": " + reason);
        context.loop()
                .execute(
                        () -> {
                            subscriber.disconnected(context.now(), number, reason);
                            wake();
                        });
    }

    /** The name of a candidate in log lines. */
    private static String text(RelayCandidate candidate) {
        return candidate.name().equals(candidate.address())
                ? candidate.name()
                : candidate.name() + " at " + candidate.address();
    }

    /** Passes the events of one connection to the subscriber. */
    private final class Receiving implements MessageLink.Listener {
        private final long number;

        Receiving(long number) {
            this.number = number;
        }

        @Override
        public void opened(MessageLink opened) {
            subscriber.connected(context.now(), number);
            wake();
        }

        @Override
        public void received(MessageLink from, Message message) {
            subscriber.receive(context.now(), number, message);
            wake();
        }

        @Override
        public void ended(MessageLink ended, String reason) {
            subscriber.disconnected(context.now(), number, reason);
            wake();
        }
    }

    /** Performs the subscriber's dials, sends and closes. */
    private final class Outgoing implements Subscriber.Output {
        @Override
        public void dial(long number, RelayCandidate candidate) {
            SubscriberClient.this.dial(number, candidate);
        }

        @Override
        public void send(long number, Message message) {
            if (number == linkNumber && link != null) {
                link.send(message);
            }
        }

        @Override
        public void close(long number, String reason) {
            if (number == linkNumber && link != null) {
                context.log().accept(name + " leaves " + link.peer() + ": " + reason);
                link.close();
            }
            // also cancels a dial in progress, whose link number no longer matches
            linkNumber = NO_LINK;
            link = null;
        }
    }
}
