package holdproxy.fanout.transport;

import holdproxy.fanout.Message;
import holdproxy.fanout.Relay;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A {@link Relay} on TCP: accepts as many connections as the relay's settings allow subscribers, and some
 * more that are being refused. Except for {@link #listen}, call it only on the context's event loop.
 */
public final class RelayServer implements AutoCloseable {
    /** Connections accepted beyond the limit on subscribers, so that they can be sent a refusal. */
    static final int SPARE_CONNECTIONS = 128;

    /** A connection that has not subscribed within this time is closed. */
    private static final int SUBSCRIBE_TIMEOUT_MS = 5_000;

    private static final int BACKLOG = 1_024;

    private final TransportContext context;
    private final FrameCodec codec;
    private final Map<Long, MessageLink> links = new HashMap<>();
    private final DueTimer timer;
    private final Relay relay;
    private long lastLinkId;
    private Channel listener;
    private boolean closed;

    /** Creates a server with its own relay reading from this source; call {@link #listen} to open it. */
    public RelayServer(TransportContext context, Relay.Source source) {
        this.context =
                new TransportContext(
                        context.loop(),
                        context.settings(),
                        context.nowUs(),
                        context.addresses(),
                        context.counters(),
                        new LineLimiter(context.log(), context.nowUs()));
        codec = new FrameCodec(context.settings());
        timer = new DueTimer(context.loop(), context.nowUs(), this::tick);
        relay = new Relay(context.settings(), source, new RelayOutput(), context.now());
    }

    /** Starts listening; the future fails if the address cannot be bound. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(context.loop(), context.loop())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                MessageLink.waterMark(context.settings()))
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address);
        context.loop()
                .execute(
                        () -> {
                            listener = bound.channel();
                            if (closed) {
                                listener.close();
                            } else {
                                rescheduleTimer();
                            }
                        });
        return bound;
    }

    /** The relay, for its status and report. */
    public Relay relay() {
        return relay;
    }

    /** Call after the source's replica has changed. */
    public void sourceChanged() {
        relay.sourceChanged(context.now());
        rescheduleTimer();
    }

    /** Refuses all subscribers, so that they move to other relays, and stops listening. */
    @Override
    public void close() {
        closed = true;
        relay.shutDown(context.now());
        timer.close();
        if (listener != null) {
            listener.close();
        }
        List.copyOf(links.values()).forEach(MessageLink::close);
        links.clear();
    }

    private void tick() {
        relay.tick(context.now());
        rescheduleTimer();
    }

    private void rescheduleTimer() {
        timer.scheduleAt(relay.nextTickUs());
    }

    private void accept(SocketChannel channel) {
        if (closed
                || links.size()
                        >= context.settings().relay().maxSubscribers() + SPARE_CONNECTIONS) {
            context.counters().connectionsRefused.increment();
            channel.close();
            return;
        }
        long linkId = ++lastLinkId;
        SubscriberConnection connection = new SubscriberConnection(linkId);
        MessageLink link =
                new MessageLink(
                        channel,
                        String.valueOf(channel.remoteAddress()),
                        context,
                        codec,
                        connection);
        links.put(linkId, link);
        // keeps links that the relay has closed but that are not flushed yet, so that they count
        channel.closeFuture().addListener(future -> links.remove(linkId, link));
        link.addToPipeline();
        channel.eventLoop()
                .schedule(
                        connection::closeUnlessSubscribed,
                        SUBSCRIBE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Passes the events of one connection to the relay. */
    private final class SubscriberConnection implements MessageLink.Listener {
        private final long linkId;
        private boolean subscribed;

        SubscriberConnection(long linkId) {
            this.linkId = linkId;
        }

        @Override
        public void opened(MessageLink link) {
            // the subscriber sends the first message
        }

        @Override
        public void received(MessageLink link, Message message) {
            if (message instanceof Message.Subscribe subscribe) {
                subscribed = true;
                link.setPeerName(subscribe.name());
            }
            relay.receive(context.now(), linkId, message);
            rescheduleTimer();
        }

        @Override
        public void ended(MessageLink link, String reason) {
            relay.disconnected(context.now(), linkId);
            rescheduleTimer();
        }

        void closeUnlessSubscribed() {
            MessageLink link = links.get(linkId);
            if (!subscribed && link != null) {
                context.log()
                        .accept(
                                "link with "
                                        + link.peer()
                                        + " ended: it did not subscribe in time");
                link.close();
            }
        }
    }

    /** Performs the relay's sends and closes. */
    private final class RelayOutput implements Relay.Output {
        @Override
        public void send(long linkId, Message message) {
            MessageLink link = links.get(linkId);
            if (link != null) {
                link.send(message);
            }
        }

        @Override
        public void close(long linkId, String reason) {
            MessageLink link = links.get(linkId);
            if (link == null) {
                return;
            }
            if (!closed) {
                context.log().accept("link with " + link.peer() + " ended: " + reason);
            }
            link.close();
        }
    }
}
