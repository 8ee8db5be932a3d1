package holdproxy.emulator;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes lines of the meta protocol (PROTOCOL-pebbletide.md) with their data blocks. It shares no code with
 * the proxy's decoder, so that it shows faults of the latter.
 */
public final class MetaProtocolDecoder extends ByteToMessageDecoder {
    /** Prefix of the answer that refuses a request. */
    public static final String BUSY = "SERVER_ERROR busy";

    private static final int LONGEST = 70_000;

    /** Whether the answer with this first line carries a value or a receipt. */
    public static boolean isServed(String answer) {
        return answer.startsWith("VA ") || answer.startsWith("HD ");
    }

    /** A line without its line end, and its data block or null. */
    public static final class Message {
        private final String line;
        private final String block;
        private final String[] tokens;

        Message(String line, String block) {
            this.line = line;
            this.block = block;
            tokens = line.split(" ");
        }

        String line() {
            return line;
        }

        String block() {
            return block;
        }

        /** The argument of the flag with this letter; empty if there is none. */
        String flag(char letter) {
            for (String token : tokens) {
                if (!token.isEmpty() && token.charAt(0) == letter && token.length() > 1) {
                    return token.substring(1);
                }
            }
            return "";
        }

        /** The value of this name among the name=value pairs of flag P; empty if it is missing. */
        String field(String name) {
            for (String pair : flag('P').split(",")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return "";
        }

        String word(int i) {
            return i < tokens.length ? tokens[i] : "";
        }
    }

    private String line;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (line == null) {
            int end = in.bytesBefore((byte) '\n');
            if (end < 0) {
                if (in.readableBytes() > LONGEST) {
                    throw new IllegalStateException("line exceeds the permitted length");
                }
                return;
            }
            String read = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString();
            in.skipBytes(1);
            line = read.endsWith("\r") ? read.substring(0, read.length() - 1) : read;
        }
        int length = blockLength();
        if (length < 0) {
            out.add(new Message(line, null));
            line = null;
        } else if (in.readableBytes() >= length + 2) {
            out.add(
                    new Message(
                            line,
                            in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString()));
            in.skipBytes(2);
            line = null;
        }
    }

    /** Length of the data block after the line in bytes; -1 if the line has none. */
    private int blockLength() {
        String[] tokens = line.split(" ");
        int at = line.startsWith("VA ") ? 1 : line.startsWith("ms ") ? 2 : -1;
        if (at < 0 || at >= tokens.length) {
            return -1;
        }
        int length = Integer.parseInt(tokens[at]);
        if (length < 0 || length > LONGEST) {
            throw new IllegalStateException("invalid block length: " + length + " bytes");
        }
        return length;
    }
}
