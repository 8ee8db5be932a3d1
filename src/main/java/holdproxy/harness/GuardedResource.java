package holdproxy.harness;

import holdproxy.emulator.Event;
import holdproxy.emulator.Scheduler;
import holdproxy.emulator.SiteNetwork;
import holdproxy.emulator.SiteRecord;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * A resource guarded by leases with fencing tokens. It reads lines with a lease's name and a token, and
 * refuses a token below the highest that it has seen for that lease.
 */
final class GuardedResource {
    static final String NAME = "resource";
    private static final int MAX_LINE_BYTES = 256;

    private final Scheduler time;
    private final SiteRecord record;
    private final SiteNetwork network;
    private final boolean checksTokens;
    private final Map<String, Long> highest = new HashMap<>();

    /** {@code checksTokens}: false to test that {@link LeaseAuditor} finds accepted stale tokens. */
    GuardedResource(Scheduler time, SiteRecord record, SiteNetwork network, boolean checksTokens) {
        this.time = time;
        this.record = record;
        this.network = network;
        this.checksTokens = checksTokens;
    }

    void start(InetSocketAddress address) {
        network.listen(
                address,
                () ->
                        new ChannelHandler[] {
                            new LineBasedFrameDecoder(MAX_LINE_BYTES), new LineHandler()
                        });
    }

    private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            String[] fields = line.toString(StandardCharsets.US_ASCII).split(" ");
            long token = Long.parseLong(fields[1]);
            long before = highest.getOrDefault(fields[0], 0L);
            boolean accepted = token >= before || !checksTokens;
            highest.put(fields[0], Math.max(token, before));
            record.add(
                    time.nowUs(),
                    Event.Kind.ACTED,
                    NAME,
                    network.peerName(ctx.channel()),
                    fields[0] + " " + token + (accepted ? " taken" : " refused"));
        }
    }
}
