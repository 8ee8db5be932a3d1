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
    private long currentLinkId = NO_LINK;
    private MessageLink link;

    /**
     * Creates a client that is not started; the parameters are those of {@link Subscriber}.
     *
     * @param downstreamReport supplies the report on the proxies below a relay; null for a proxy
     */
    public SubscriberClient(
            TransportContext context,
            String name,
            Replica replica,
            Subscriber.Consumer consumer,
            Supplier<CoverageReport> downstreamReport,
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
                        downstreamReport,
                        new SubscriberOutput(),
                        random,
                        context.now());
    }

    /** Sets the candidates, best first; the first call starts the client. */
    public void setCandidates(List<RelayCandidate> ordered) {
        subscriber.setCandidates(context.now(), ordered);
        rescheduleTimer();
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
        rescheduleTimer();
    }

    private void rescheduleTimer() {
        timer.scheduleAt(subscriber.nextTickUs());
    }

    private void dial(long linkId, RelayCandidate candidate) {
        currentLinkId = linkId;
        link = null;
        InetSocketAddress address;
        try {
            address = context.addresses().apply(candidate.address());
        } catch (RuntimeException e) {
            dialFailed(linkId, candidate, e.getMessage());
            return;
        }
        int timeoutMs = (int) (context.settings().subscriber().connectTimeoutMaxUs() / US_PER_MS);
        ChannelFuture connectFuture =
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
                                        initLink(linkId, candidate, channel);
                                    }
                                })
                        .connect(address);
        connectFuture.addListener(
                connecting -> {
                    if (!connecting.isSuccess() && linkId == currentLinkId) {
                        dialFailed(linkId, candidate, connecting.cause().getMessage());
                    }
                });
    }

    private void initLink(long linkId, RelayCandidate candidate, SocketChannel channel) {
        MessageLink opened =
                new MessageLink(
                        channel, describe(candidate), context, codec, new LinkListener(linkId));
        opened.addToPipeline();
        if (linkId == currentLinkId) {
            link = opened;
        } else {
            opened.close();
        }
    }

    /** Notifies the subscriber asynchronously, since this may run during one of its calls. */
    private void dialFailed(long linkId, RelayCandidate candidate, String reason) {
        context.counters().dialsFailed.increment();
        context.log().accept(name + " cannot reach " + describe(candidate) + ": " + reason);
        context.loop()
                .execute(
                        () -> {
                            subscriber.disconnected(context.now(), linkId, reason);
                            rescheduleTimer();
                        });
    }

    /** The name of a candidate in log lines. */
    private static String describe(RelayCandidate candidate) {
        return candidate.name().equals(candidate.address())
                ? candidate.name()
                : candidate.name() + " at " + candidate.address();
    }

    /** Passes the events of one connection to the subscriber. */
    private final class LinkListener implements MessageLink.Listener {
        private final long linkId;

        LinkListener(long linkId) {
            this.linkId = linkId;
        }

        @Override
        public void opened(MessageLink opened) {
            subscriber.connected(context.now(), linkId);
            rescheduleTimer();
        }

        @Override
        public void received(MessageLink from, Message message) {
            subscriber.receive(context.now(), linkId, message);
            rescheduleTimer();
        }

        @Override
        public void ended(MessageLink ended, String reason) {
            subscriber.disconnected(context.now(), linkId, reason);
            rescheduleTimer();
        }
    }

    /** Performs the subscriber's dials, sends and closes. */
    private final class SubscriberOutput implements Subscriber.Output {
        @Override
        public void dial(long linkId, RelayCandidate candidate) {
            SubscriberClient.this.dial(linkId, candidate);
        }

        @Override
        public void send(long linkId, Message message) {
            if (linkId == currentLinkId && link != null) {
                link.send(message);
            }
        }

        @Override
        public void close(long linkId, String reason) {
            if (linkId == currentLinkId && link != null) {
                context.log().accept(name + " leaves " + link.peer() + ": " + reason);
                link.close();
            }
            // also cancels a dial in progress, whose link number no longer matches
            currentLinkId = NO_LINK;
            link = null;
        }
    }
}
