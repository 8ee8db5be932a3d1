package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;

/**
 * Streams a value that is too large to buffer from a node connection to a client's response slot. The node
 * is read only while the client takes the data, so that each value takes no more than about 64 KiB in
 * its client's output buffer plus the data of one read.
 */
final class Relay {
    /** A node that sends nothing for this long is considered unreachable. */
    private static final long NODE_SILENT_US = 5_000_000;

    /** A client that takes nothing for this long is considered gone. */
    private static final long CLIENT_SILENT_US = 10_000_000;

    private static final int LOOK_MS = 500;

    private final Proxy proxy;
    private final Relays all;
    private final Attempt attempt;
    private final NodeConnection node;
    private final ClientSession session;
    private final ClientSession.Slot slot;

    /** Data received but not yet passed to the client's connection. */
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();

    private final Future<?> look;

    /** Bytes passed to the client's connection but not yet written to its socket. */
    private long held;

    private boolean whole;
    private boolean over;
    private boolean reading = true;
    private long movedUs;

    Relay(Proxy proxy, Relays all, Attempt attempt, NodeConnection node, ByteBuf head) {
        this.proxy = proxy;
        this.attempt = attempt;
        this.node = node;
        this.all = all;
        session = attempt.exchange.session;
        slot = attempt.exchange.slot;
        movedUs = proxy.now();
        waiting.add(head);
        look = proxy.every(LOOK_MS, this::look);
        session.relay(slot, this);
        pump();
    }

    /** The next part of the value; takes ownership of the buffer. */
    void more(ByteBuf bytes) {
        if (over) {
            bytes.release();
            return;
        }
        movedUs = proxy.now();
        waiting.add(bytes);
        pump();
    }

    /** The value is complete and correctly framed. */
    void whole() {
        whole = true;
        waiting.add(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}));
        pump();
    }

    /** Writes as much as the client's connection has room for, and pauses or resumes reading the node. */
    void pump() {
        if (over) {
            return;
        }
        boolean turn = session.turnOf(slot);
        if (turn) {
            boolean any = false;
            while (!over && !waiting.isEmpty() && session.hasRoom()) {
                write(waiting.poll());
                any = true;
            }
            if (any) {
                session.flush();
            }
            if (whole && waiting.isEmpty() && !over) {
                ended();
                session.relayed(slot);
                return;
            }
        }
        if (!whole && !over) {
            boolean room = session.hasRoom() && (held == 0 || all.room());
            read(turn && room && waiting.isEmpty());
        }
    }

    private void read(boolean on) {
        if (on && !reading) {
            movedUs = proxy.now(); // the node could not send anything until now
        }
        reading = on;
        node.read(on);
    }

    private void write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        boolean last = whole && waiting.isEmpty();
        held += size;
        all.hold(size);
        session.write(bytes)
                .addListener(
                        f -> {
                            held -= size;
                            all.hold(-size);
                            movedUs = proxy.now();
                            if (last) {
                                all.taken(attempt.exchange, f.isSuccess());
                            } else if (held == 0) {
                                pump();
                            }
                        });
    }

    /**
     * Detects a stalled transfer: an unreachable node never closes its connection, and a client may stop
     * reading. Time spent waiting for earlier responses does not count.
     */
    private void look() {
        boolean turn = session.turnOf(slot);
        boolean ofNode = reading && !whole;
        if (!turn) {
            movedUs = proxy.now();
        } else if (!over && proxy.now() - movedUs > (ofNode ? NODE_SILENT_US : CLIENT_SILENT_US)) {
            proxy.log(
                    ofNode
                            ? "node " + node.pool.name + " fell silent in the middle of a value"
                            : "a client takes nothing of its value: closed");
            if (ofNode) {
                node.close(); // also ends the transfer
            } else {
                session.abort();
            }
        }
    }

    /**
     * The node's connection closed, or the node violated the protocol. The client's connection is closed too,
     * which shows the client that its value is incomplete.
     */
    void brokenOff() {
        if (!over) {
            ended();
            all.broken(attempt.exchange);
            session.abort();
        }
    }

    /** The client has disconnected. */
    void clientGone() {
        if (!over) {
            ended();
            all.taken(attempt.exchange, false);
            node.abandon(attempt);
        }
    }

    private void ended() {
        over = true;
        look.cancel(false);
        for (ByteBuf b = waiting.poll(); b != null; b = waiting.poll()) {
            b.release();
        }
    }
}
