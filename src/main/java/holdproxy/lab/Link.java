package holdproxy.lab;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.function.Function;

/**
 * The network on one connection, at the end that accepted it: every message comes later by the
 * delay of the host, in order; so does the end that this side brings about. Of a silent host nothing
 * comes and nothing goes, and nobody is told. A host whose connections are reset loses a message whole or
 * in part with its connection, or has it and loses the connection then.
 */
final class Link extends ChannelDuplexHandler {
    private final VirtualLoop loop;
    private final MemoryNetwork.Host host;
    private final Function<String, MemoryNetwork.Way> ways;
    private final ArrayDeque<Object> here = new ArrayDeque<>();
    private long inDueUs;
    private long outDueUs;
    private MemoryNetwork.Way way;
    private boolean closing;

    /** A zone's state has kept back something of it: it is silent until that passes, and is reset then. */
    private boolean holed;

    /** {@code ways}: by the name of who connected. */
    Link(VirtualLoop loop, MemoryNetwork.Host host, Function<String, MemoryNetwork.Way> ways) {
        this.loop = loop;
        this.host = host;
        this.ways = ways;
    }

    private MemoryNetwork.Way way(ChannelHandlerContext ctx) {
        if (way == null) {
            way = ways.apply(MemoryNetwork.peer(ctx.channel()));
        }
        return way;
    }

    /** When what sets out now is there: not before what set out earlier the same way. */
    private long dueUs(ChannelHandlerContext ctx, boolean toHost, long earlierUs) {
        return Math.max(earlierUs, loop.nowUs() + way(ctx).delayUs(toHost));
    }

    private void out(ChannelHandlerContext ctx, Runnable task) {
        outDueUs = dueUs(ctx, false, outDueUs);
        loop.after(outDueUs - loop.nowUs(), task);
    }

    /** Whether a message gets no further; says so where a zone is why. */
    private boolean gone(ChannelHandlerContext ctx, boolean toHost) {
        boolean gone = way(ctx).gone(toHost);
        if (!host.silent && (gone || way.troubled())) {
            way.lost(toHost, gone ? "message" : "late");
        }
        holed |= gone && !host.silent;
        return gone;
    }

    /** What comes after what was kept back would be taken for something else: TCP ends such a connection. */
    private boolean endsHoled(ChannelHandlerContext ctx, Object message) {
        if (!holed) {
            return false;
        }
        ReferenceCountUtil.release(message);
        if (!closing) {
            way.lost(false, "late");
            closing = true;
            ctx.close();
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (gone(ctx, true)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (endsHoled(ctx, message)) {
            return;
        }
        inDueUs = dueUs(ctx, true, inDueUs);
        loop.after(
                inDueUs - loop.nowUs(),
                () -> {
                    if (closing || gone(ctx, true)) {
                        ReferenceCountUtil.release(message);
                    } else if (host.resets()) {
                        reset(ctx, (ByteBuf) message);
                    } else {
                        here.add(message);
                        handOver(ctx);
                    }
                });
    }

    /** What has come lies here, as in a kernel's buffer, for as long as nobody reads. */
    private void handOver(ChannelHandlerContext ctx) {
        while (!here.isEmpty() && ctx.channel().config().isAutoRead()) {
            ctx.fireChannelRead(here.poll());
        }
    }

    @Override
    public void read(ChannelHandlerContext ctx) {
        handOver(ctx);
        ctx.read();
    }

    private void reset(ChannelHandlerContext ctx, ByteBuf message) {
        switch (host.pick(3)) {
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
        // at once: later the channel's handlers would be gone; what was on its way is lost
        closing = true;
        here.forEach(ReferenceCountUtil::release);
        here.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (gone(ctx, false)) {
            ReferenceCountUtil.release(message);
            return; // neither done nor failed: so it is with a machine that is cut off
        }
        if (endsHoled(ctx, message)) {
            promise.tryFailure(new ClosedChannelException());
            return;
        }
        ByteBuf bytes = (ByteBuf) message;
        if (!bytes.isReadable()) {
            // nothing to send: it is done once what is before it has gone
            bytes.release();
            loop.after(outDueUs - loop.nowUs(), promise::trySuccess);
            return;
        }
        out(
                ctx,
                () -> {
                    if (host.resets()) {
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
        // what was written goes out when it is due
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        closing = true;
        out(ctx, () -> ctx.close(promise));
    }
}
