package holdproxy.net;

import holdproxy.input.BadInput;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a byte stream into JSON objects at their closing braces, not at line ends: lists may be indented and
 * arrive in pieces that end anywhere. Only white space may stand between objects. White space outside strings
 * is dropped, so that the size limit does not depend on the formatting of a list.
 */
final class JsonFraming {
    private final int maxBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** {@code maxBytes}: the most bytes of an object; a larger one is refused before it is all buffered. */
    JsonFraming(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reads up to the end of the next object and returns it, or null if the bytes end before that. */
    String read(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte b = bytes.readByte();
            if (inString) {
                append(b);
                inString = escaped || b != '"';
                escaped = b == '\\' && !escaped;
            } else if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                if (depth == 0 && b != '{') {
                    throw new BadInput(
                            "not a JSON object: "
                                    + Config.printable(
                                            (char) (b & 0xff)
                                                    + bytes.toString(StandardCharsets.ISO_8859_1)));
                }
                append(b);
                inString = b == '"';
                depth += b == '{' || b == '[' ? 1 : b == '}' || b == ']' ? -1 : 0;
                if (depth == 0) {
                    String text = buffer.toString(StandardCharsets.UTF_8);
                    buffer.reset();
                    return text;
                }
            }
        }
        return null;
    }

    private void append(byte b) {
        if (buffer.size() == maxBytes) {
            throw new BadInput("a list is longer than " + maxBytes + " bytes");
        }
        buffer.write(b);
    }

    /** Whether no object is incomplete. */
    boolean betweenObjects() {
        return depth == 0;
    }
}
