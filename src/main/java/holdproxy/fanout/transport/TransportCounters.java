package holdproxy.fanout.transport;

import java.util.concurrent.atomic.LongAdder;

/**
 * What one side of the fan-out's transport has carried since its start. Written on event loops, read on any
 * thread; many clients may share one instance.
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
     * All counters at about the same time.
     *
     * @param bytesReceived frames with their headers
     * @param bytesSent frames with their headers, as handed to the channel
     * @param messagesReceived messages that could be read
     * @param messagesSent messages handed to a channel
     * @param messagesDropped messages that a channel which takes nothing did not get
     * @param connectionsOpened connections established, accepted or dialled
     * @param connectionsOpen those of them that are open now
     * @param connectionsRefused connections closed at once because there were too many
     * @param dialsFailed dials that were refused, or not answered within their time-out
     * @param linksDropped connections ended by this side because of what came, or because the rules said so
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

    /** All counters as they are now; on any thread. */
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
