package holdproxy.fanout;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes that a key has; equal by content. Neither who makes it nor who reads it changes the array. */
public final class Value {
    private final byte[] bytes;

    private Value(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Takes the array over without a copy. */
    public static Value of(byte[] bytes) {
        return new Value(bytes);
    }

    /** The text's UTF-8 bytes. */
    public static Value of(String text) {
        return new Value(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The bytes themselves, not a copy. */
    public byte[] bytes() {
        return bytes;
    }

    /** Length in bytes. */
    public int size() {
        return bytes.length;
    }

    /** The bytes read as UTF-8. */
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
