package holdproxy.fanout.transport;

import holdproxy.fanout.FanoutSettings;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * What relays and subscribers on one event loop share.
 *
 * @param loop on which all of them run; whatever is called on them is called there
 * @param settings of the rules, which also bound frames and connections
 * @param nowUs the present moment in microseconds, which never goes back
 * @param addresses reads the address of a candidate; a {@link RuntimeException} where it is none
 * @param counters of all of them together
 * @param log takes a line for each link that ends, with what ended it, and for each dial that fails
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
