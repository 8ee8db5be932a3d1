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
    private final int longest;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;

    /** {@code longest}: the most bytes of an object; a larger one is refused before all of it is buffered. */
    JsonFraming(int longest) {
        this.longest = longest;
    }

    /** Reads up to the end of the next object and returns it, or null if the bytes end before that. */
    String read(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte b = bytes.readByte();
            if (inText) {
                keep(b);
                inText = escaped || b != '"';
                escaped = b == '\\' && !escaped;
            } else if (b != ' ' && b != '\n' && b != '\r' && b != '\t') {
                if (depth == 0 && b != '{') {
                    throw new BadInput(
                            "not a JSON object: "
                                    + Config.shown(
                                            (char) (b & 0xff)
                                                    + bytes.toString(StandardCharsets.ISO_8859_1)));
                }
                keep(b);
                inText = b == '"';
                depth += b == '{' || b == '[' ? 1 : b == '}' || b == ']' ? -1 : 0;
                if (depth == 0) {
                    String text = object.toString(StandardCharsets.UTF_8);
                    object.reset();
                    return text;
                }
            }
        }
        return null;
    }

    private void keep(byte b) {
        if (object.size() == longest) {
            throw new BadInput("a list is longer than " + longest + " bytes");
        }
        object.write(b);
    }

    /** Whether no object is incomplete. */
    boolean between() {
        return depth == 0;
    }
}
