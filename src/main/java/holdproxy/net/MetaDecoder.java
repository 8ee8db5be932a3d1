package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Framing of the memcache text protocol: lines, each optionally followed by a data block. */
abstract class MetaDecoder extends ByteToMessageDecoder {
    static final int MAX_LINE_LENGTH = 2048;

    /** Values up to this size are buffered until complete. */
    static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;

    static final int MAX_VALUE_BYTES = 4 << 20;
    static final int NO_BLOCK = -1;

    private int blockLength = NO_BLOCK;

    /** Bytes still to be read of a block that is delivered in pieces. */
    private int remaining;

    private boolean framingLost;

    /** Takes a line without its terminator; returns the length of its data block, or {@link #NO_BLOCK}. */
    abstract int onLine(String onLine, List<Object> out);

    abstract void onBlock(byte[] value, List<Object> out);

    /** The next bytes of a block over {@link #MAX_BUFFERED_VALUE_BYTES}, to be read from {@code in}. */
    abstract void onBlockPart(ByteBuf in, int bytes, List<Object> out);

    /** A block that is delivered in pieces is complete. */
    abstract void onBlockEnd(List<Object> out);

    /** The peer violated the framing; further input from it is discarded. */
    abstract void onProtocolError(String why, List<Object> out);

    @Override
    protected final void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (framingLost) {
            in.skipBytes(in.readableBytes());
        } else if (blockLength != NO_BLOCK) {
            decodeBlock(in, out);
        } else if (admitsLine()) {
            decodeLine(in, out);
        }
    }

    /** Whether the next line may be decoded now; if not, it stays in the buffer. */
    boolean admitsLine() {
        return true;
    }

    /** Whether the buffer holds bytes that are not decoded yet. */
    final boolean hasUndecodedInput() {
        return actualReadableBytes() > 0;
    }

    /** Discards what is buffered and all further input, without decoding it. */
    void discardInput() {
        framingLost = true;
    }

    private void decodeBlock(ByteBuf in, List<Object> out) {
        if (blockLength > MAX_BUFFERED_VALUE_BYTES) {
            decodeBlockParts(in, out);
            return;
        }
        if (in.readableBytes() < blockLength + 2) {
            return;
        }
        byte[] value = new byte[blockLength];
        in.readBytes(value);
        blockLength = NO_BLOCK;
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            failFraming("bad data chunk", out);
            return;
        }
        onBlock(value, out);
    }

    private void decodeBlockParts(ByteBuf in, List<Object> out) {
        if (remaining > 0) {
            int bytes = Math.min(remaining, in.readableBytes());
            remaining -= bytes;
            onBlockPart(in, bytes, out);
        } else if (in.readableBytes() >= 2) {
            blockLength = NO_BLOCK;
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                failFraming("bad data chunk", out);
                return;
            }
            onBlockEnd(out);
        }
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
        if (length > MAX_LINE_LENGTH) {
            failFraming(
                    "line too long", out); // bounds the memory that a peer can make the proxy use
        } else if (end >= 0) {
            String line = in.readString(length, StandardCharsets.ISO_8859_1);
            in.skipBytes(1);
            blockLength = onLine(line.endsWith("\r") ? line.substring(0, length - 1) : line, out);
            if (blockLength > MAX_VALUE_BYTES) {
                failFraming("object too large", out);
            } else if (blockLength != NO_BLOCK && blockLength < 0) {
                failFraming("bad data length", out);
            }
            remaining = Math.max(0, blockLength);
        }
    }

    private void failFraming(String why, List<Object> out) {
        framingLost = true;
        blockLength = NO_BLOCK;
        onProtocolError(why, out);
    }

    /** Parses a decimal number of at most nine digits; returns a negative value for anything else. */
    static int parseNumber(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -2;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -2;
            }
        }
        return Integer.parseInt(text);
    }
}
