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
final class ValueStream {
    /**
     * A node that sends nothing for this long is considered unreachable, a client that takes nothing gone.
     * Longer than a partition of the network, after which a node goes on.
     */
    private static final long STALL_TIMEOUT_US = 10_000_000;

    private static final int STALL_CHECK_MS = 500;

    /** A piece is copied if its read buffer is more than this many times its size. */
    private static final int MAX_BUFFER_RATIO = 2;

    /** Data of the value and the size of the buffer that it keeps. */
    private record Piece(ByteBuf bytes, int heldBytes) {
        static Piece of(ByteBuf bytes) {
            int size = bytes.readableBytes();
            ByteBuf readBuffer = bytes;
            while (readBuffer.unwrap() != null) {
                readBuffer = readBuffer.unwrap(); // a slice, or a wrapper of Netty's leak detection
            }
            if (readBuffer.capacity() <= MAX_BUFFER_RATIO * size) {
                return new Piece(bytes, readBuffer.capacity());
            }
            ByteBuf copy = Unpooled.buffer(size).writeBytes(bytes);
            bytes.release();
            return new Piece(copy, size);
        }
    }

    private final Proxy proxy;
    private final ValueStreams streams;
    private final Attempt attempt;
    private final NodeConnection node;
    private final ClientSession session;
    private final ClientSession.Slot slot;

    /** Data received but not yet passed to the client's connection. */
    private final ArrayDeque<Piece> pending = new ArrayDeque<>();

    private final Future<?> stallCheck;

    /** Bytes passed to the client's connection but not yet written to its socket. */
    private long unwrittenBytes;

    private boolean complete;
    private boolean finished;
    private boolean reading = true;
    private long lastProgressUs;

    /** {@code head}: the response's first line; nothing is written before {@link #start}. */
    ValueStream(
            Proxy proxy, ValueStreams streams, Attempt attempt, NodeConnection node, ByteBuf head) {
        this.proxy = proxy;
        this.attempt = attempt;
        this.node = node;
        this.streams = streams;
        session = attempt.exchange.session;
        slot = attempt.exchange.slot;
        lastProgressUs = proxy.now();
        addPending(head);
        stallCheck = proxy.every(STALL_CHECK_MS, this::checkStall);
        session.setStream(slot, this);
    }

    /** Begins to write to the client; called once the node's connection passes the value on to this. */
    void start() {
        pump();
    }

    /** The next part of the value; takes ownership of the buffer. */
    void append(ByteBuf bytes) {
        if (finished) {
            bytes.release();
            return;
        }
        lastProgressUs = proxy.now();
        addPending(bytes);
        pump();
    }

    private void addPending(ByteBuf bytes) {
        Piece piece = Piece.of(bytes);
        streams.addHeld(piece.heldBytes());
        pending.add(piece);
    }

    /** The value is complete and correctly framed. */
    void completed() {
        complete = true;
        addPending(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}));
        pump();
    }

    /** Writes as much as the client's connection has room for, and pauses or resumes reading the node. */
    void pump() {
        if (finished) {
            return;
        }
        boolean first = session.isFirst(slot);
        if (first) {
            boolean any = false;
            while (!finished && !pending.isEmpty() && session.isWritable()) {
                write(pending.poll());
                any = true;
            }
            if (any) {
                session.flush();
            }
            if (complete && pending.isEmpty() && !finished) {
                finish();
                session.streamFinished(slot);
                return;
            }
        }
        if (!complete && !finished) {
            boolean writable = session.isWritable() && (unwrittenBytes == 0 || streams.hasRoom());
            setReading(first && writable && pending.isEmpty());
        }
    }

    private void setReading(boolean on) {
        if (on && !reading) {
            lastProgressUs = proxy.now(); // the node could not send anything until now
        }
        reading = on;
        node.setReading(this, on);
    }

    private void write(Piece piece) {
        int size = piece.bytes().readableBytes();
        boolean last = complete && pending.isEmpty();
        unwrittenBytes += size;
        session.write(piece.bytes())
                .addListener(
                        f -> {
                            unwrittenBytes -= size;
                            streams.addHeld(-piece.heldBytes());
                            lastProgressUs = proxy.now();
                            if (last) {
                                streams.finished(attempt.exchange, f.isSuccess());
                            } else if (unwrittenBytes == 0) {
                                pump();
                            }
                        });
    }

    /**
     * Detects a stalled transfer: an unreachable node never closes its connection, and a client may stop
     * reading. Time spent waiting for earlier responses does not count.
     */
    private void checkStall() {
        boolean first = session.isFirst(slot);
        boolean waitingForNode = reading && !complete;
        if (!first) {
            lastProgressUs = proxy.now();
        } else if (!finished && proxy.now() - lastProgressUs > STALL_TIMEOUT_US) {
            proxy.log(
                    waitingForNode
                            ? "node " + node.pool.name + " fell silent in the middle of a value"
                            : "a client takes nothing of its value: closed");
            if (waitingForNode) {
                node.close();
                nodeFailed(); // unless the connection has passed on its end already
            } else {
                session.abort();
            }
        }
    }

    /**
     * The node's connection closed, or the node violated the protocol. The client's connection is closed too,
     * which shows the client that its value is incomplete.
     */
    void nodeFailed() {
        if (!finished) {
            finish();
            streams.nodeFailed(attempt.exchange);
            session.abort();
        }
    }

    /** The client has disconnected. */
    void clientGone() {
        if (!finished) {
            finish();
            streams.finished(attempt.exchange, false);
            node.stopRelaying(this, attempt);
        }
    }

    private void finish() {
        finished = true;
        stallCheck.cancel(false);
        for (Piece p = pending.poll(); p != null; p = pending.poll()) {
            p.bytes().release();
            streams.addHeld(-p.heldBytes());
        }
    }
}
