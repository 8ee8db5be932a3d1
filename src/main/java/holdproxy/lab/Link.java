package holdproxy.lab;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * The network on one connection, at the end that accepted it: every message comes later by the
 * delay of the host, in order; so does the end that this side brings about. Of a silent host nothing
 * comes and nothing goes, and nobody is told.
 */
final class Link extends ChannelDuplexHandler {
    private final VirtualLoop loop;
    private final MemoryNetwork.Host host;
    private long inDueUs;
    private long outDueUs;
    private boolean closing;

    Link(VirtualLoop loop, MemoryNetwork.Host host) {
        this.loop = loop;
        this.host = host;
    }

    /** When what sets out now is there: not before what set out earlier the same way. */
    private long dueUs(long earlierUs) {
        return Math.max(earlierUs, loop.nowUs() + host.delayUs());
    }

    private void out(Runnable task) {
        outDueUs = dueUs(outDueUs);
        loop.after(outDueUs - loop.nowUs(), task);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (host.silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        inDueUs = dueUs(inDueUs);
        loop.after(inDueUs - loop.nowUs(), () -> {
            if (host.silent || closing) {
                ReferenceCountUtil.release(message);
            } else {
                ctx.fireChannelRead(message);
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // at once: later the channel's handlers would be gone; what was on its way is lost
        closing = true;
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (host.silent) {
            ReferenceCountUtil.release(message);
            return; // neither done nor failed: so it is with a machine that is cut off
        }
        out(() -> ctx.writeAndFlush(message, promise));
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        // what was written goes out when it is due
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        closing = true;
        out(() -> ctx.close(promise));
    }
}
