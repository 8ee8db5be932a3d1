package holdproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The end of a connection to a client: shuts down its output and closes it once the client has closed its
 * side, or once a client that takes its responses has had the time to receive them. Until then input is read,
 * and discarded by the handlers before: a connection that is closed over unread input, or that receives more
 * after it was closed, is reset, and what the system still holds for the client is lost.
 */
final class LingeringClose {
    /** The least time for a client to close its side. */
    static final int MIN_LINGER_MS = 500;

    /** A client that takes nothing for this long is gone. */
    private static final int MAX_FLUSH_MS = 10_000;

    private final Channel channel;
    private final Transport transport;
    private final UndeliveredBytes undelivered;
    private final LongSupplier clock;

    /** {@code undelivered}: what the system may hold; {@code clock}: in microseconds. */
    LingeringClose(
            Channel channel,
            Transport transport,
            UndeliveredBytes undelivered,
            LongSupplier clock) {
        this.channel = channel;
        this.transport = transport;
        this.undelivered = undelivered;
        this.clock = clock;
    }

    /** Begins the end, behind everything that has been written to the channel. */
    void begin() {
        Future<?> flushTimer = closeAfter(MAX_FLUSH_MS);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        f -> {
                            flushTimer.cancel(false);
                            transport.shutdownOutput(channel);
                            long deliveryMs = undelivered.deliveryMs(clock.getAsLong());
                            closeAfter(Math.max(MIN_LINGER_MS, deliveryMs));
                        });
    }

    private Future<?> closeAfter(long ms) {
        return channel.eventLoop().schedule(() -> channel.close(), ms, TimeUnit.MILLISECONDS);
    }
}
