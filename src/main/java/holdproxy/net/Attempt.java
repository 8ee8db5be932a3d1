package holdproxy.net;

import holdproxy.policy.Router;
import io.netty.util.concurrent.Future;

/** One attempt at a request on one cache node, from the router's decision to its single outcome. */
final class Attempt {
    final Exchange exchange;
    final int number;
    final long sentUs;

    /** Total time that the event loop had been stalled when the attempt was sent. */
    final long stalledUsAtSend;

    /** How long the proxy waits for the response. */
    final long waitUs;

    /** Whether its last byte has been handed to the kernel; from then on the node may execute it. */
    boolean written;

    boolean done;

    /** Whether its outcome proves that the node did no work on it. */
    boolean neverRan;

    /** Deadline for sending its last byte; an attempt that misses it is aborted before that byte is sent. */
    private long lastByteDeadlineUs;

    /** Latency of the first bytes of a streamed value, less event loop stalls; -1 until they arrive. */
    long firstBytesUs = -1;

    NodeConnection connection;
    Future<?> timer;

    Attempt(Exchange exchange, int number, long sentUs, long stoodStillUs, long waitUs) {
        this.exchange = exchange;
        this.number = number;
        this.sentUs = sentUs;
        this.stalledUsAtSend = stoodStillUs;
        this.waitUs = waitUs;
        lastByteDeadlineUs = exchange.lastByteDeadlineUs();
    }

    /** Another attempt at the request may run, within whose repeat window this one must begin. */
    void limitLastByte(long deadlineUs) {
        lastByteDeadlineUs = Math.min(lastByteDeadlineUs, deadlineUs);
    }

    boolean mayStillBegin(long nowUs) {
        return nowUs < lastByteDeadlineUs;
    }

    /** The outcome if its connection breaks. */
    Router.Outcome outcomeIfDisconnected() {
        return written ? Router.Outcome.RESET : Router.Outcome.CONNECT_FAILED;
    }
}
