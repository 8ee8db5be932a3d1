package holdproxy.net;

import holdproxy.console.Figures;
import io.netty.buffer.ByteBufAllocator;

/** The values that are passed on as they come: how such a request begins and ends, and what all hold. */
final class Relays {
    /** They may hold so much together; past that only one that holds nothing of its own goes on. */
    private static final long MOST_HELD_BYTES = 12L << 20;

    private final Proxy proxy;
    private long held;

    Relays(Proxy proxy) {
        this.proxy = proxy;
    }

    /** A node has begun such a value: from here on the request is this attempt's. Null: it is answered. */
    Relay begin(Attempt a, Answer answer, NodeConnection node) {
        Exchange x = a.exchange;
        if (x.answered) {
            return null;
        }
        x.answered = true;
        x.overdue.cancel(false);
        a.timer.cancel(false);
        a.firstBytesUs = proxy.latencyUs(a, proxy.now());
        proxy.events.add(() -> proxy.router.onStreaming(proxy.now(), x.id, a.number, proxy));
        return new Relay(proxy, this, a, node, answer.encode(ByteBufAllocator.DEFAULT));
    }

    /** The client has taken the last byte of its value, or will not. */
    void taken(Exchange x, boolean whole) {
        Figures.Outcomes outcomes = ended(x);
        if (whole) {
            outcomes.ok.add(1);
        }
    }

    /** A node broke off in the middle of a value. */
    void broken(Exchange x) {
        ended(x).errors.add(1);
    }

    private Figures.Outcomes ended(Exchange x) {
        proxy.figures().active.add(-1);
        return proxy.outcomes(x.command);
    }

    void hold(int change) {
        held += change;
    }

    long held() {
        return held;
    }

    boolean room() {
        return held < MOST_HELD_BYTES;
    }
}
