package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;

/**
 * Read buffers for connections to cache nodes. Pieces of streamed values keep their buffer until their client
 * has taken them; once these hold their limit, each further read is small, so that all of them together stay
 * within the memory for read buffers.
 */
final class RelayReceiveBuffers implements RecvByteBufAllocator {
    /** Reads of one socket before the others: a large value must not delay them. */
    private static final int MAX_READS_PER_PASS = 4;

    private static final int MAX_READ_BYTES = 64 * 1024;

    /** The largest read when streamed values hold their limit. */
    static final int SMALL_READ_BYTES = 8 * 1024;

    private final RecvByteBufAllocator adaptive = Sockets.reads(MAX_READ_BYTES, MAX_READS_PER_PASS);
    private final BooleanSupplier hasRoom;

    /** {@code hasRoom}: whether streamed values may hold more. */
    RelayReceiveBuffers(BooleanSupplier hasRoom) {
        this.hasRoom = hasRoom;
    }

    @Override
    public Handle newHandle() {
        return new DelegatingHandle(adaptive.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator alloc) {
                return alloc.ioBuffer(guess());
            }

            @Override
            public int guess() {
                int bytes = super.guess();
                return hasRoom.getAsBoolean() ? bytes : Math.min(bytes, SMALL_READ_BYTES);
            }
        };
    }
}
