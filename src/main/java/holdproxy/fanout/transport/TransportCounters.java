package holdproxy.fanout.transport;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the fan-out transport since the start, for a relay or for any number of subscriber clients.
 * Written on event loops, read on any thread.
 */
public final class TransportCounters {
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder bytesSent = new LongAdder();
    final LongAdder messagesReceived = new LongAdder();
    final LongAdder messagesSent = new LongAdder();
    final LongAdder messagesDropped = new LongAdder();
    final LongAdder connectionsOpened = new LongAdder();
    final LongAdder connectionsOpen = new LongAdder();
    final LongAdder connectionsRefused = new LongAdder();
    final LongAdder dialsFailed = new LongAdder();
    final LongAdder linksDropped = new LongAdder();

    /**
     * Values of all counters, read one after another rather than atomically.
     *
     * @param bytesReceived size of frames including their headers
     * @param bytesSent size of frames including their headers, when passed to the channel
     * @param messagesReceived messages decoded
     * @param messagesSent messages passed to a channel
     * @param messagesDropped messages dropped because the channel was not writable
     * @param connectionsOpened connections established, accepted or dialled
     * @param connectionsOpen connections currently open
     * @param connectionsRefused connections closed at once because there were too many
     * @param dialsFailed dials that failed or timed out, including invalid addresses
     * @param linksDropped connections closed by this side because of invalid data or by the protocol logic
     */
    public record Snapshot(
            long bytesReceived,
            long bytesSent,
            long messagesReceived,
            long messagesSent,
            long messagesDropped,
            long connectionsOpened,
            long connectionsOpen,
            long connectionsRefused,
            long dialsFailed,
            long linksDropped) {}

    /** Reads all counters; on any thread. */
    public Snapshot snapshot() {
        return new Snapshot(
                bytesReceived.sum(),
                bytesSent.sum(),
                messagesReceived.sum(),
                messagesSent.sum(),
                messagesDropped.sum(),
                connectionsOpened.sum(),
                connectionsOpen.sum(),
                connectionsRefused.sum(),
                dialsFailed.sum(),
                linksDropped.sum());
    }
}
