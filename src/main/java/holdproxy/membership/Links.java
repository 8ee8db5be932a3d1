package holdproxy.membership;

import holdproxy.input.BadInput;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Exchanges frames with other processes over TCP, with one connection for each direction, opened when there
 * is something to send. A frame that cannot be sent now is dropped: senders repeat what matters. Runs on one
 * event loop.
 *
 * <p>Connections in each direction, frames and bytes waiting for a connection, and the frame length are all
 * bounded.
 */
public final class Links implements AutoCloseable {
    /** Longest frame, in bytes, without its header. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 2;
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_CONNECTIONS = 2048;
    private static final int MAX_QUEUED_FRAMES = 64;
    private static final int MAX_UNSENT_BYTES = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int IDLE_TIMEOUT_S = 30;
    private static final int READ_TIMEOUT_S = 120;
    private static final long RECONNECT_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Receives frames on the event loop; if it throws {@link BadInput}, the connection is closed. */
    public interface Receiver {
        /** Called for each frame; the array belongs to the receiver. */
        void received(byte[] frame);
    }

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> routes;
    private final Function<String, InetSocketAddress> addresses;
    private final Consumer<String> log;
    private final Map<Integer, Receiver> receivers = new HashMap<>();
    private final Map<InetSocketAddress, Outgoing> outgoing = new HashMap<>();
    private final Set<Channel> incoming = new LinkedHashSet<>();
    private Channel listener;
    private long dropped;
    private long sentBytes;
    private long sentFrames;

    /**
     * Creates the links; {@link #listen} accepts connections.
     *
     * @param routes addresses, by process name, that replace the advertised ones of processes that cannot be
     *     reached there from here
     * @param addresses parses an address; throws {@link BadInput} if it is invalid
     * @param log receives log lines on the event loop
     */
    public Links(
            EventLoop loop,
            Map<String, InetSocketAddress> routes,
            Function<String, InetSocketAddress> addresses,
            Consumer<String> log) {
        this.loop = loop;
        this.routes = Map.copyOf(routes);
        this.addresses = addresses;
        this.log = log;
    }

    /** Sets the receiver for a kind of frame, 0 to 127; frames of a kind without a receiver are dropped. */
    public void receive(int kind, Receiver receiver) {
        receivers.put(kind, receiver);
    }

    /** Accepts connections from other processes at this address. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        if (incoming.size() >= MAX_CONNECTIONS) {
                                            ch.close();
                                            return;
                                        }
                                        incoming.add(ch);
                                        ch.closeFuture().addListener(f -> incoming.remove(ch));
                                        ch.pipeline()
                                                .addLast(
                                                        new IdleStateHandler(READ_TIMEOUT_S, 0, 0),
                                                        new LengthFieldBasedFrameDecoder(
                                                                MAX_FRAME_BYTES
                                                                        + LENGTH_BYTES
                                                                        + HEADER_BYTES,
                                                                0,
                                                                LENGTH_BYTES,
                                                                0,
                                                                LENGTH_BYTES),
                                                        new IncomingHandler());
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Number of frames dropped since the start. */
    public long dropped() {
        return dropped;
    }

    /** Number of frames sent since the start. */
    public long sentFrames() {
        return sentFrames;
    }

    /** Number of bytes sent since the start, headers included. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Sends to the route of this name, if there is one, else to the address; the name may be null. */
    public void send(String name, String address, int kind, byte[] frame) {
        InetSocketAddress to = resolve(name, address);
        if (to == null || frame.length > MAX_FRAME_BYTES) {
            dropped++;
            return;
        }
        Outgoing link = outgoing.get(to);
        if (link == null) {
            if (outgoing.size() >= MAX_CONNECTIONS) {
                outgoing.values().removeIf(o -> o.failed);
            }
            if (outgoing.size() >= MAX_CONNECTIONS) {
                dropped++;
                return;
            }
            link = new Outgoing(to);
            outgoing.put(to, link);
        }
        link.send(kind, frame);
    }

    /** Closes the connection to a process that does not answer; the next frame opens a new one. */
    public void closeConnection(String name, String address) {
        Outgoing link = outgoing.get(resolve(name, address));
        if (link != null) {
            link.close();
        }
    }

    private InetSocketAddress resolve(String name, String address) {
        InetSocketAddress route = name == null ? null : routes.get(name);
        if (route != null) {
            return route;
        }
        try {
            return addresses.apply(address);
        } catch (BadInput e) {
            return null; // another process advertised it; the frame counts as dropped
        }
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close();
        }
        List.copyOf(incoming).forEach(Channel::close);
        List.copyOf(outgoing.values()).forEach(Outgoing::close);
    }

    /** The outgoing connection to one address. */
    private final class Outgoing {
        private final InetSocketAddress to;
        private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
        private Channel channel;
        private boolean open;
        private boolean failed;
        private long failedNs;

        Outgoing(InetSocketAddress to) {
            this.to = to;
        }

        void send(int kind, byte[] frame) {
            if (failed && System.nanoTime() - failedNs < RECONNECT_DELAY_NS
                    || queued.size() >= MAX_QUEUED_FRAMES
                    || open && !channel.isWritable()) {
                dropped++;
                return;
            }
            ByteBuf bytes = Unpooled.buffer(LENGTH_BYTES + HEADER_BYTES + frame.length);
            bytes.writeInt(HEADER_BYTES + frame.length)
                    .writeByte(VERSION)
                    .writeByte(kind)
                    .writeBytes(frame);
            sentFrames++;
            sentBytes += bytes.readableBytes();
            if (open) {
                channel.writeAndFlush(bytes);
                return;
            }
            queued.add(bytes);
            if (channel == null) {
                connect();
            }
        }

        private void connect() {
            failed = false;
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .option(
                                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                                    new WriteBufferWaterMark(
                                            MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel ch) {
                                            ch.pipeline()
                                                    .addLast(
                                                            new IdleStateHandler(
                                                                    0, IDLE_TIMEOUT_S, 0),
                                                            new OutgoingHandler());
                                        }
                                    })
                            .connect(to);
            channel = connecting.channel();
            connecting.addListener(
                    f -> {
                        if (!f.isSuccess()) {
                            failed = true;
                            failedNs = System.nanoTime();
                            dropped += queued.size();
                            releaseQueued();
                            channel = null;
                            return;
                        }
                        open = true;
                        queued.forEach(channel::write);
                        queued.clear();
                        channel.flush();
                        channel.closeFuture().addListener(c -> closed());
                    });
        }

        private void closed() {
            open = false;
            releaseQueued();
            outgoing.remove(to, this);
        }

        private void releaseQueued() {
            queued.forEach(ByteBuf::release);
            queued.clear();
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** Closes an outgoing connection that is idle or has failed; what it receives is ignored. */
    private static final class OutgoingHandler extends SimpleChannelInboundHandler<Object> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            // nothing is expected on an outgoing connection
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Reads frames from a connection that another process has opened. */
    private final class IncomingHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (frame.readableBytes() < HEADER_BYTES || frame.readByte() != VERSION) {
                throw new BadInput("unsupported frame version, or frame too short");
            }
            Receiver receiver = receivers.get((int) frame.readByte());
            if (receiver != null) {
                byte[] bytes = new byte[frame.readableBytes()];
                frame.readBytes(bytes);
                receiver.received(bytes);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close(); // silent for too long: the sender is gone or uses another connection
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.accept(
                        "closing the connection from "
                                + ctx.channel().remoteAddress()
                                + ": "
                                + cause.getMessage());
            }
            ctx.close();
        }
    }
}
