package holdproxy.fanout.transport;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Message;
import holdproxy.fanout.ProtocolException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One connection: converts between messages and a channel's frames. The outbound buffer is bounded by the
 * channel's high water mark plus one frame: while the channel is not writable, messages are dropped, which
 * the protocol tolerates.
 */
final class MessageLink extends SimpleChannelInboundHandler<ByteBuf> {
    /** Time that a closing link has to flush its outbound buffer. */
    private static final int CLOSE_TIMEOUT_MS = 1_000;

    /** Receives the events of a link, on its event loop. */
    interface Listener {
        void opened(MessageLink link);

        /** If this throws a {@link ProtocolException}, the link ends. */
        void received(MessageLink link, Message message);

        /** Called once when the link ends, unless it was closed with {@link MessageLink#close}. */
        void ended(MessageLink link, String reason);
    }

    private final Channel channel;
    private String peer;
    private final TransportContext context;
    private final FrameCodec codec;
    private final Listener listener;
    private boolean ended;
    private String reason = "the peer closed the connection";

    /** {@code peer} is the name of the other side in log lines. */
    MessageLink(
            Channel channel,
            String peer,
            TransportContext context,
            FrameCodec codec,
            Listener listener) {
        this.channel = channel;
        this.peer = peer;
        this.context = context;
        this.codec = codec;
        this.listener = listener;
    }

    /** Adds the frame decoder and this link to the channel's pipeline. */
    void addToPipeline() {
        int maxFrameBytes = context.settings().limits().frameBytes() + FrameCodec.HEADER_BYTES;
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                maxFrameBytes,
                                0,
                                FrameCodec.HEADER_BYTES,
                                0,
                                FrameCodec.HEADER_BYTES))
                .addLast(this);
    }

    /** The high water mark is twice the credit, so that any message within the credit fits. */
    static WriteBufferWaterMark waterMark(FanoutSettings settings) {
        int credit = settings.relay().creditBytes();
        return new WriteBufferWaterMark(credit, 2 * credit);
    }

    /** The name of the other side in log lines. */
    String peer() {
        return peer;
    }

    /** Sets the name of the other side, once it is known. */
    void setPeerName(String name) {
        peer = name + " at " + channel.remoteAddress();
    }

    /** Sends a message, or drops it if the outbound buffer is full. */
    void send(Message message) {
        if (ended || !channel.isWritable()) {
            context.counters().messagesDropped.increment();
            return;
        }
        ByteBuf frame = codec.encode(message);
        context.counters().messagesSent.increment();
        context.counters().bytesSent.add(frame.readableBytes());
        channel.writeAndFlush(frame);
    }

    /** Closes the link after flushing, or after a time-out; the listener gets no further events. */
    void close() {
        if (ended) {
            return;
        }
        ended = true;
        context.counters().linksDropped.increment();
        if (!channel.isActive()) {
            channel.close();
            return;
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        var forcedClose =
                channel.eventLoop()
                        .schedule(() -> channel.close(), CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> forcedClose.cancel(false));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context.counters().connectionsOpened.increment();
        context.counters().connectionsOpen.increment();
        channel.closeFuture().addListener(closed -> context.counters().connectionsOpen.decrement());
        if (!ended) {
            listener.opened(this);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        context.counters().bytesReceived.add(FrameCodec.HEADER_BYTES + frame.readableBytes());
        if (ended) {
            return;
        }
        Message message = codec.decode(frame);
        context.counters().messagesReceived.increment();
        listener.received(this, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handleEnd();
    }

    private void handleEnd() {
        if (!ended) {
            ended = true;
            context.log().accept("link with " + peer + " ended: " + reason);
            listener.ended(this, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (ended) {
            ctx.close();
            return;
        }
        reason = describe(cause);
        if (!(cause instanceof IOException)) {
            context.counters().linksDropped.increment();
        }
        handleEnd();
        ctx.close();
    }

    private String describe(Throwable cause) {
        if (cause instanceof ProtocolException) {
            return cause.getMessage();
        }
        if (cause instanceof TooLongFrameException) {
            return ProtocolException.Kind.TOO_LARGE
                    + ": a frame of more than "
                    + context.settings().limits().frameBytes()
                    + " bytes";
        }
        if (cause instanceof DecoderException) {
            return ProtocolException.Kind.MALFORMED + ": " + cause.getMessage();
        }
        return cause instanceof IOException
                ? String.valueOf(cause.getMessage())
                : String.valueOf(cause);
    }
}
