package holdproxy.fanout.transport;

import holdproxy.fanout.FanoutSettings;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Shared by all relays and subscribers on one event loop.
 *
 * @param loop event loop on which all of them run and must be called
 * @param settings of the protocol, which also bound frames and connections
 * @param nowUs monotonic clock in microseconds
 * @param addresses parses a candidate's address; throws a {@link RuntimeException} if it is invalid
 * @param counters totals of all of them
 * @param log receives a line with the reason for each link that ends and for each dial that fails
 */
public record TransportContext(
        EventLoop loop,
        FanoutSettings settings,
        LongSupplier nowUs,
        Function<String, InetSocketAddress> addresses,
        TransportCounters counters,
        Consumer<String> log) {
    long now() {
        return nowUs.getAsLong();
    }
}
