package holdproxy.net;

import holdproxy.input.BadInput;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream into its JSON objects, where their braces close and not where lines end: lists may come
 * indented, and in pieces that end anywhere. What stands between objects is white space; none is kept but
 * that within texts, so that a list's size does not depend on how it is set.
 */
final class JsonFraming {
    private final int longest;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;

    /** {@code longest}: the bytes that an object may have; a longer one is refused before it is held. */
    JsonFraming(int longest) {
        this.longest = longest;
    }

    /** Reads on to the end of an object, which is returned, or of what has come: then null. */
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
                            "no JSON object: "
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
            throw new BadInput("a list longer than " + longest + " bytes");
        }
        object.write(b);
    }

    /** Whether no object has begun that is not whole. */
    boolean between() {
        return depth == 0;
    }
}
