package holdproxy.net;

import holdproxy.console.Figures;
import io.netty.buffer.ByteBufAllocator;

/** Starts and finishes streamed values, and keeps count of the memory that all of them hold. */
final class ValueStreams {
    /**
     * Limit for all streamed values together; above it, only those that hold nothing are read on, in small
     * reads.
     */
    private static final long MAX_HELD_BYTES = 8L << 20;

    private final Proxy proxy;
    private long heldBytes;

    ValueStreams(Proxy proxy) {
        this.proxy = proxy;
    }

    /**
     * Called when a node begins such a value: from here on only this attempt can answer the request. Returns
     * null if the request has been answered already.
     */
    ValueStream begin(Attempt a, NodeResponse answer, NodeConnection node) {
        Exchange x = a.exchange;
        if (x.answered) {
            return null;
        }
        x.answered = true;
        x.overdueTimer.cancel(false);
        a.timer.cancel(false);
        a.firstBytesUs = proxy.latencyUs(a, proxy.now());
        proxy.events.add(() -> proxy.router.onStreaming(proxy.now(), x.id, a.number, proxy));
        return new ValueStream(proxy, this, a, node, answer.encode(ByteBufAllocator.DEFAULT));
    }

    /** The value was written to its end if {@code whole}; otherwise the client did not take all of it. */
    void finished(Exchange x, boolean whole) {
        Figures.Outcomes outcomes = finish(x);
        if (whole) {
            outcomes.ok.add(1);
        }
    }

    /** A node failed in the middle of a value. */
    void nodeFailed(Exchange x) {
        finish(x).errors.add(1);
    }

    private Figures.Outcomes finish(Exchange x) {
        proxy.figures().active.add(-1);
        return proxy.outcomes(x.command);
    }

    /** Adds to the memory of what was received of streamed values and not yet taken by their clients. */
    void addHeld(int change) {
        heldBytes += change;
    }

    long heldBytes() {
        return heldBytes;
    }

    boolean hasRoom() {
        return heldBytes < MAX_HELD_BYTES;
    }
}
