package holdproxy.daemon;

import holdproxy.lease.LeaseClient;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Uses the lease of a drill: sends lines with the role and the fencing token to the guarded resource, which
 * compares the token with those it has seen.
 */
final class LeaseExercise {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final DaemonFile.Drill drill;
    private final LeaseClient leases;
    private final EventLoop loop;
    private Channel channel;
    private boolean connecting;

    LeaseExercise(DaemonFile.Drill drill, LeaseClient leases, EventLoop loop) {
        this.drill = drill;
        this.leases = leases;
        this.loop = loop;
    }

    void begin() {
        loop.scheduleWithFixedDelay(
                this::act, drill.everyMs(), drill.everyMs(), TimeUnit.MILLISECONDS);
    }

    private void act() {
        if (leases.mayAct(drill.role()).isEmpty()) {
            return;
        }
        if (channel == null || !channel.isActive()) {
            connect();
            return;
        }
        if (!channel.isWritable()) {
            return;
        }
        LeaseClient.GuardedAction act = leases.begin(drill.role());
        channel.writeAndFlush(
                        Unpooled.copiedBuffer(
                                drill.role() + " " + act.token() + "\n", StandardCharsets.US_ASCII))
                .addListener(f -> act.close());
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new DiscardHandler())
                .connect(drill.resource())
                .addListener(
                        f -> {
                            connecting = false;
                            channel = f.isSuccess() ? ((ChannelFuture) f).channel() : null;
                        });
    }

    private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
