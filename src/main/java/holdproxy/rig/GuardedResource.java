package holdproxy.rig;

import holdproxy.town.Event;
import holdproxy.town.Timeline;
import holdproxy.town.TownNetwork;
import holdproxy.town.TownRecord;
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
    private static final int LONGEST_LINE = 256;

    private final Timeline time;
    private final TownRecord record;
    private final TownNetwork network;
    private final boolean looks;
    private final Map<String, Long> highest = new HashMap<>();

    /** {@code looks}: whether it checks tokens; if not, {@link LeaseAuditor} has to find stale holders. */
    GuardedResource(Timeline time, TownRecord record, TownNetwork network, boolean looks) {
        this.time = time;
        this.record = record;
        this.network = network;
        this.looks = looks;
    }

    void start(InetSocketAddress known) {
        network.listen(
                known,
                () -> new ChannelHandler[] {new LineBasedFrameDecoder(LONGEST_LINE), new Acts()});
    }

    private final class Acts extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            String[] words = line.toString(StandardCharsets.US_ASCII).split(" ");
            long token = Long.parseLong(words[1]);
            long before = highest.getOrDefault(words[0], 0L);
            boolean taken = token >= before || !looks;
            highest.put(words[0], Math.max(token, before));
            record.add(
                    time.nowUs(),
                    Event.Kind.ACTED,
                    NAME,
                    network.peer(ctx.channel()),
                    words[0] + " " + token + (taken ? " taken" : " refused"));
        }
    }
}
