package holdproxy.fanout;

import holdproxy.fanout.ProtocolException.Kind;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeSet;

/** Reads the fields of a message in order and checks each against its limit. */
final class FieldReader {
    private final List<?> fields;
    private final FanoutSettings.Limits limits;
    private int next;

    FieldReader(List<?> fields, FanoutSettings.Limits limits) {
        this.fields = fields;
        this.limits = limits;
    }

    boolean hasMore() {
        return next < fields.size();
    }

    /** Throws a {@link ProtocolException} if there are more fields. */
    void requireEnd() {
        if (hasMore()) {
            throw new ProtocolException(
                    Kind.UNKNOWN_FIELD,
                    "unknown field "
                            + next
                            + ": this version of the message has "
                            + next
                            + " fields");
        }
    }

    void requireBelow(int count, int max) {
        if (count >= max) {
            throw new ProtocolException(Kind.TOO_LARGE, "a list has more than " + max + " entries");
        }
    }

    Position position() {
        return new Position(nonNegative(), nonNegative());
    }

    long nonNegative() {
        long number = PlainValues.number(field());
        if (number < 0) {
            throw PlainValues.malformed("negative number: " + number);
        }
        return number;
    }

    /** Reads a non-negative number that fits in an int. */
    int count() {
        long number = nonNegative();
        if (number > Integer.MAX_VALUE) {
            throw PlainValues.malformed("count too large: " + number);
        }
        return (int) number;
    }

    String name() {
        String name = PlainValues.text(field());
        if (name.isEmpty()) {
            throw PlainValues.malformed("a name is empty");
        }
        return checkLength(name, limits.nameBytes());
    }

    String reason() {
        String reason = PlainValues.text(field());
        if (reason.length() > limits.reasonCharacters()) {
            throw tooLong(reason.length(), limits.reasonCharacters());
        }
        return reason;
    }

    FieldReader nested() {
        return new FieldReader(PlainValues.list(field()), limits);
    }

    List<?> list(int max) {
        List<?> list = PlainValues.list(field());
        if (list.size() > max) {
            throw tooLong(list.size(), max);
        }
        return list;
    }

    SortedMap<String, Value> entries(int max) {
        SortedMap<String, Value> entries = PlainValues.entries(list(2 * max));
        entries.forEach(
                (key, value) -> {
                    requireKey(key);
                    if (value.size() > limits.valueBytes()) {
                        throw new ProtocolException(
                                Kind.TOO_LARGE,
                                "the value of "
                                        + key
                                        + " has "
                                        + value.size()
                                        + " bytes, the limit is "
                                        + limits.valueBytes());
                    }
                });
        return entries;
    }

    TreeSet<String> keys(int max) {
        TreeSet<String> keys = new TreeSet<>(PlainValues.texts(list(max)));
        keys.forEach(this::requireKey);
        return keys;
    }

    private void requireKey(String key) {
        if (key.isEmpty()) {
            throw PlainValues.malformed("a key is empty");
        }
        checkLength(key, limits.keyBytes());
    }

    private Object field() {
        if (!hasMore()) {
            throw PlainValues.malformed("a message ends after " + next + " fields");
        }
        return fields.get(next++);
    }

    private static String checkLength(String text, int max) {
        int length = SizeEstimate.utf8Length(text);
        if (length > max) {
            throw tooLong(length, max);
        }
        return text;
    }

    private static ProtocolException tooLong(int length, int max) {
        return new ProtocolException(
                Kind.TOO_LARGE, "a string or list of length " + length + ", the limit is " + max);
    }
}
