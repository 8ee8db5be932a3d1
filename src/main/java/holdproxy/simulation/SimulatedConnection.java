package holdproxy.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.function.Function;

/**
 * The simulated network on one connection, at the accepting end: every message, and the close from this
 * side, is delayed by the host's latency and stays in order. A silent host neither sends nor receives,
 * and its peers are not notified. On a host whose connections are reset, a message may be lost whole or
 * in part together with its connection, or be delivered just before the reset.
 */
final class SimulatedConnection extends ChannelDuplexHandler {
    private final VirtualLoop loop;
    private final InMemoryNetwork.Host host;
    private final Function<String, InMemoryNetwork.NetworkPath> ways;
    private final ArrayDeque<Object> here = new ArrayDeque<>();
    private long inDueUs;
    private long outDueUs;
    private InMemoryNetwork.NetworkPath way;
    private boolean closing;

    /**
     * A message of this connection was not delivered because of the zone's state: the connection is silent
     * until the fault ends, and is then reset.
     */
    private boolean streamGap;

    /** {@code ways}: lookup by the name of the connecting process. */
    SimulatedConnection(
            VirtualLoop loop,
            InMemoryNetwork.Host host,
            Function<String, InMemoryNetwork.NetworkPath> ways) {
        this.loop = loop;
        this.host = host;
        this.ways = ways;
    }

    private InMemoryNetwork.NetworkPath way(ChannelHandlerContext ctx) {
        if (way == null) {
            way = ways.apply(InMemoryNetwork.peer(ctx.channel()));
        }
        return way;
    }

    /** Arrival time of a message sent now; never before earlier ones in the same direction. */
    private long dueUs(ChannelHandlerContext ctx, boolean toHost, long earlierUs) {
        return Math.max(earlierUs, loop.nowUs() + way(ctx).delayUs(toHost));
    }

    private void out(ChannelHandlerContext ctx, Runnable task) {
        outDueUs = dueUs(ctx, false, outDueUs);
        loop.schedule(outDueUs - loop.nowUs(), task);
    }

    /** Whether a message is not delivered; reports it if a zone is the cause. */
    private boolean isUndelivered(ChannelHandlerContext ctx, boolean toHost) {
        boolean gone = way(ctx).unreachable(toHost);
        if (!host.partitioned && (gone || way.impaired())) {
            way.recordLoss(toHost, gone ? "message" : "late");
        }
        streamGap |= gone && !host.partitioned;
        return gone;
    }

    /** Bytes after a gap would be misread, so the connection is reset, as TCP would. */
    private boolean closeAfterGap(ChannelHandlerContext ctx, Object message) {
        if (!streamGap) {
            return false;
        }
        ReferenceCountUtil.release(message);
        if (!closing) {
            way.recordLoss(false, "late");
            closing = true;
            ctx.close();
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (isUndelivered(ctx, true)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (closeAfterGap(ctx, message)) {
            return;
        }
        inDueUs = dueUs(ctx, true, inDueUs);
        loop.schedule(
                inDueUs - loop.nowUs(),
                () -> {
                    if (closing || isUndelivered(ctx, true)) {
                        ReferenceCountUtil.release(message);
                    } else if (host.drawsReset()) {
                        reset(ctx, (ByteBuf) message);
                    } else {
                        here.add(message);
                        deliverReceived(ctx);
                    }
                });
    }

    /** Received bytes wait here, as in a kernel's socket buffer, until the reader asks for them. */
    private void deliverReceived(ChannelHandlerContext ctx) {
        while (!here.isEmpty() && ctx.channel().config().isAutoRead()) {
            ctx.fireChannelRead(here.poll());
        }
    }

    @Override
    public void read(ChannelHandlerContext ctx) {
        deliverReceived(ctx);
        ctx.read();
    }

    private void reset(ChannelHandlerContext ctx, ByteBuf message) {
        switch (host.randomBelow(3)) {
            case 0 -> message.release();
            case 1 -> {
                ctx.fireChannelRead(message.readRetainedSlice(message.readableBytes() / 2));
                message.release();
            }
            default -> ctx.fireChannelRead(message);
        }
        closing = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // at once: later the channel's handlers would be gone; messages in flight are lost
        closing = true;
        here.forEach(ReferenceCountUtil::release);
        here.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (isUndelivered(ctx, false)) {
            ReferenceCountUtil.release(message);
            return; // neither completed nor failed, as with a host that is cut off
        }
        if (closeAfterGap(ctx, message)) {
            promise.tryFailure(new ClosedChannelException());
            return;
        }
        ByteBuf bytes = (ByteBuf) message;
        if (!bytes.isReadable()) {
            // nothing to send: complete once the preceding messages have been sent
            bytes.release();
            loop.schedule(outDueUs - loop.nowUs(), promise::trySuccess);
            return;
        }
        out(
                ctx,
                () -> {
                    if (host.drawsReset()) {
                        closing = true;
                        ctx.writeAndFlush(bytes.readRetainedSlice(bytes.readableBytes() / 2));
                        bytes.release();
                        ctx.close(promise);
                    } else {
                        ctx.writeAndFlush(message, promise);
                    }
                });
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        // written messages are delivered when they are due
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        closing = true;
        out(ctx, () -> ctx.close(promise));
    }
}
