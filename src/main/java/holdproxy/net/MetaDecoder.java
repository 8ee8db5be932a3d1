package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Framing of the memcache text protocol: lines, each optionally followed by a data block. An incomplete line
 * or block is collected on the heap, so that no read buffer of the network waits for its rest.
 */
abstract class MetaDecoder extends ByteToMessageDecoder {
    static final int MAX_LINE_LENGTH = 2048;

    /** Values up to this size are small: nodes' values are buffered until complete. */
    static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;

    static final int MAX_VALUE_BYTES = 4 << 20;
    static final int NO_BLOCK = -1;
    private static final byte[] CRLF = {'\r', '\n'};

    private int blockLength = NO_BLOCK;

    /** Bytes still to be read of the block. */
    private int remaining;

    /** Bytes read of the CRLF behind the block. */
    private int terminatorRead;

    private final BlockBuffer block = new BlockBuffer();

    /** The start of a line whose end has not been received. */
    private final StringBuilder lineStart = new StringBuilder(0);

    private boolean framingLost;

    /** Takes a line without its terminator; returns the length of its data block, or {@link #NO_BLOCK}. */
    abstract int onLine(String onLine, List<Object> out);

    /** The budget for a block of this length that arrives in parts. */
    abstract ByteBudget budgetFor(int length);

    /** A block is complete. */
    abstract void onBlock(byte[] value, List<Object> out);

    /** A block has been read to its end but was not kept, for lack of memory. */
    abstract void onBlockDropped(List<Object> out);

    /** Another part of a block over {@link #MAX_BUFFERED_VALUE_BYTES} has been collected. */
    void onPartCollected(List<Object> out) {}

    /** Whether blocks of this length are passed on in pieces instead of being collected. */
    boolean passesOn(int length) {
        return false;
    }

    /** The next piece, to be read from {@code in}, of a block that is passed on. */
    void onPiece(ByteBuf in, int bytes, List<Object> out) {
        throw new UnsupportedOperationException("blocks are collected");
    }

    /** A block that is passed on in pieces is complete. */
    void onPiecesEnd(List<Object> out) {
        throw new UnsupportedOperationException("blocks are collected");
    }

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

    /** Whether a line or a block has begun and its end has not been received. */
    final boolean isIncomplete() {
        return !framingLost && (blockLength != NO_BLOCK || lineStart.length() > 0);
    }

    /** Whether more has been received than whole lines and blocks that were passed on. */
    final boolean hasUnfinishedInput() {
        return isIncomplete() || !framingLost && hasUndecodedInput();
    }

    /** Discards what is buffered and all further input, without decoding it. */
    void discardInput() {
        framingLost = true;
        blockLength = NO_BLOCK;
        releaseCollected();
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        releaseCollected();
    }

    private void releaseCollected() {
        block.release();
        lineStart.setLength(0);
        lineStart.trimToSize();
    }

    private void decodeBlock(ByteBuf in, List<Object> out) {
        if (remaining == 0) {
            decodeTerminator(in, out);
        } else if (passesOn(blockLength)) {
            onPiece(in, nextPart(in), out);
        } else if (isWhole(in)) {
            decodeWholeBlock(in, out);
        } else {
            block.append(in, nextPart(in), blockLength);
            if (blockLength > MAX_BUFFERED_VALUE_BYTES) {
                onPartCollected(out);
            }
        }
    }

    /** Counts what is received of the block as read; returns its number of bytes. */
    private int nextPart(ByteBuf in) {
        int bytes = Math.min(remaining, in.readableBytes());
        remaining -= bytes;
        return bytes;
    }

    /** Whether a small block has been received at once, with its terminator, so that nothing waits for it. */
    private boolean isWhole(ByteBuf in) {
        return remaining == blockLength
                && blockLength <= MAX_BUFFERED_VALUE_BYTES
                && in.readableBytes() >= blockLength + CRLF.length;
    }

    private void decodeWholeBlock(ByteBuf in, List<Object> out) {
        byte[] value = new byte[blockLength];
        in.readBytes(value);
        if (readTerminator(in, out)) {
            blockLength = NO_BLOCK;
            onBlock(value, out);
        }
    }

    private void decodeTerminator(ByteBuf in, List<Object> out) {
        if (!readTerminator(in, out)) {
            return;
        }
        boolean passedOn = passesOn(blockLength);
        blockLength = NO_BLOCK;
        if (passedOn) {
            onPiecesEnd(out);
        } else if (block.isDropped()) {
            onBlockDropped(out);
        } else {
            onBlock(block.take(), out);
        }
    }

    /** Returns whether the CRLF behind the block has been read to its end. */
    private boolean readTerminator(ByteBuf in, List<Object> out) {
        while (terminatorRead < CRLF.length && in.isReadable()) {
            if (in.readByte() != CRLF[terminatorRead]) {
                failFraming("bad data chunk", out);
                return false;
            }
            terminatorRead++;
        }
        return terminatorRead == CRLF.length;
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
        if (lineStart.length() + length > MAX_LINE_LENGTH) {
            failFraming(
                    "line too long", out); // bounds the memory that a peer can make the proxy use
            return;
        }
        String text = in.readString(length, StandardCharsets.ISO_8859_1);
        if (end < 0) {
            lineStart.append(text);
            return;
        }
        in.skipBytes(1);
        if (lineStart.length() > 0) {
            text = lineStart.append(text).toString();
            lineStart.setLength(0);
            lineStart.trimToSize();
        }
        beginBlock(
                onLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text, out),
                out);
    }

    private void beginBlock(int length, List<Object> out) {
        if (framingLost || length == NO_BLOCK) {
            return;
        }
        if (length > MAX_VALUE_BYTES) {
            failFraming("object too large", out);
        } else if (length < 0) {
            failFraming("bad data length", out);
        } else {
            blockLength = length;
            remaining = length;
            terminatorRead = 0;
            block.begin(budgetFor(length));
        }
    }

    private void failFraming(String why, List<Object> out) {
        discardInput();
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
