package holdproxy.net;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects a data block that arrives in parts, on the heap and within a memory budget. It grows with what has
 * been received, not to the length that the peer has stated.
 */
final class BlockBuffer {
    private static final byte[] EMPTY = {};

    private ByteBudget budget;
    private byte[] bytes = EMPTY;
    private int received;
    private boolean dropped;

    /** Begins an empty block whose memory is taken from this budget. */
    void begin(ByteBudget blockBudget) {
        release();
        budget = blockBudget;
        dropped = false;
    }

    /**
     * Appends the next {@code count} bytes of a block of {@code length}. Without memory for them the whole
     * block is dropped: this and all later parts are skipped.
     */
    void append(ByteBuf in, int count, int length) {
        if (dropped || !ensureCapacity(received + count, length)) {
            release();
            dropped = true;
            in.skipBytes(count);
            return;
        }
        in.readBytes(bytes, received, count);
        received += count;
    }

    private boolean ensureCapacity(int needed, int length) {
        if (needed <= bytes.length) {
            return true;
        }
        int capacity = Math.min(length, Math.max(2 * bytes.length, needed));
        if (!budget.reserve(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Whether the block was dropped for lack of memory. */
    boolean isDropped() {
        return dropped;
    }

    /** Returns the complete block and gives back its memory to the budget. */
    byte[] take() {
        byte[] block = bytes;
        release();
        return block;
    }

    /** Discards what was collected. */
    void release() {
        if (budget != null) {
            budget.release(bytes.length);
        }
        bytes = EMPTY;
        received = 0;
    }
}
