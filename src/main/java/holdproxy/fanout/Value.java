package holdproxy.fanout;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The bytes stored under a key, compared by content. The array is shared, not copied: neither its
 * creator nor its readers may modify it.
 */
public final class Value {
    private final byte[] bytes;

    private Value(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps the array without copying it. */
    public static Value of(byte[] bytes) {
        return new Value(bytes);
    }

    /** A value of the text's UTF-8 bytes. */
    public static Value of(String text) {
        return new Value(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The underlying array, not a copy. */
    public byte[] bytes() {
        return bytes;
    }

    /** Length in bytes. */
    public int size() {
        return bytes.length;
    }

    /** The bytes decoded as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Value value && Arrays.equals(bytes, value.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Value[" + bytes.length + " bytes]";
    }
}
