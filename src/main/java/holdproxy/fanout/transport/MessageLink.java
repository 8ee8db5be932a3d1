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
 * One connection: messages out of a channel's frames and into them. What waits to be sent is bounded by the
 * channel's water mark and one frame: a channel that is not writable takes nothing more, and what the rules
 * send meanwhile is dropped, which they bear.
 */
final class MessageLink extends SimpleChannelInboundHandler<ByteBuf> {
    /** So long a link that is to be closed may take to send what waits. */
    private static final int LINGER_MS = 1_000;

    /** Hears of a link, on its event loop. */
    interface Listener {
        void opened(MessageLink link);

        /** A {@link ProtocolException} ends the link. */
        void received(MessageLink link, Message message);

        /** Once, whoever ended it; not where it was closed with {@link MessageLink#close}. */
        void ended(MessageLink link, String reason);
    }

    private final Channel channel;
    private String peer;
    private final TransportContext context;
    private final FrameCodec codec;
    private final Listener listener;
    private boolean over;
    private String reason = "the other side has closed the connection";

    /** {@code peer}: how the log names the other side. */
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

    /** Puts this link behind a channel's frames. */
    void install() {
        int longest = context.settings().limits().frameBytes() + FrameCodec.HEADER_BYTES;
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                longest, 0, FrameCodec.HEADER_BYTES, 0, FrameCodec.HEADER_BYTES))
                .addLast(this);
    }

    /** Twice the credit: what the rules send within it always fits. */
    static WriteBufferWaterMark waterMark(FanoutSettings settings) {
        int credit = settings.relay().creditBytes();
        return new WriteBufferWaterMark(credit, 2 * credit);
    }

    /** How the log names the other side. */
    String peer() {
        return peer;
    }

    /** The other side has said what it is called. */
    void named(String name) {
        peer = name + " at " + channel.remoteAddress();
    }

    /** Sends a message, or drops it where the other side takes nothing. */
    void send(Message message) {
        if (over || !channel.isWritable()) {
            context.counters().messagesDropped.increment();
            return;
        }
        ByteBuf frame = codec.encode(message);
        context.counters().messagesSent.increment();
        context.counters().bytesSent.add(frame.readableBytes());
        channel.writeAndFlush(frame);
    }

    /** Ends the link once what waits is sent, or after a moment; the listener hears nothing more of it. */
    void close() {
        if (over) {
            return;
        }
        over = true;
        context.counters().linksDropped.increment();
        if (!channel.isActive()) {
            channel.close();
            return;
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        var forced =
                channel.eventLoop()
                        .schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> forced.cancel(false));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context.counters().connectionsOpened.increment();
        context.counters().connectionsOpen.increment();
        channel.closeFuture().addListener(closed -> context.counters().connectionsOpen.decrement());
        if (!over) {
            listener.opened(this);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        context.counters().bytesReceived.add(FrameCodec.HEADER_BYTES + frame.readableBytes());
        if (over) {
            return;
        }
        Message message = codec.decode(frame);
        context.counters().messagesReceived.increment();
        listener.received(this, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
    }

    private void end() {
        if (!over) {
            over = true;
            context.log().accept("link with " + peer + " ended: " + reason);
            listener.ended(this, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (over) {
            ctx.close();
            return;
        }
        reason = describe(cause);
        if (!(cause instanceof IOException)) {
            context.counters().linksDropped.increment();
        }
        end();
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
