package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;

/**
 * A value too large to be held, passed on as it comes: from a node's connection to a client's place in line.
 * The node is read from only while the client takes what it gives, so that no relay holds more than some
 * 64 KiB at its client's and what was read at once.
 */
final class Relay {
    /** A node that gives nothing for so long has gone silent. */
    private static final long NODE_SILENT_US = 5_000_000;

    /** So has a client that takes nothing. */
    private static final long CLIENT_SILENT_US = 10_000_000;

    private static final int LOOK_MS = 500;

    private final Proxy proxy;
    private final Relays all;
    private final Attempt attempt;
    private final NodeConnection node;
    private final ClientSession session;
    private final ClientSession.Slot slot;

    /** What has come before it is this value's turn. */
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();

    private final Future<?> look;

    /** Handed to the client's connection and not taken yet. */
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

    /** More of the value; it is taken over. */
    void more(ByteBuf bytes) {
        if (over) {
            bytes.release();
            return;
        }
        movedUs = proxy.now();
        waiting.add(bytes);
        pump();
    }

    /** All of it has come, and its framing was right. */
    void whole() {
        whole = true;
        waiting.add(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}));
        pump();
    }

    /** Passes on what the client's connection has room for, and reads on where it has. */
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
            movedUs = proxy.now(); // it could not give anything until now
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

    /** A cut-off machine says nothing for ever, a client may take nothing; neither can before its turn. */
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
                node.close(); // which ends this
            } else {
                session.abort();
            }
        }
    }

    /** The node's connection has ended, or broken the protocol: the client can tell, as its own ends. */
    void brokenOff() {
        if (!over) {
            ended();
            all.broken(attempt.exchange);
            session.abort();
        }
    }

    /** Nobody is left to pass it on to. */
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
