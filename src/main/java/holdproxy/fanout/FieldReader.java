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

    void requireBelow(int count, int most) {
        if (count >= most) {
            throw new ProtocolException(
                    Kind.TOO_LARGE, "a list has more than " + most + " entries");
        }
    }

    Position position() {
        return new Position(notNegative(), notNegative());
    }

    long notNegative() {
        long number = PlainForm.number(field());
        if (number < 0) {
            throw PlainForm.malformed("negative number: " + number);
        }
        return number;
    }

    /** Reads a non-negative number that fits in an int. */
    int count() {
        long number = notNegative();
        if (number > Integer.MAX_VALUE) {
            throw PlainForm.malformed("count too large: " + number);
        }
        return (int) number;
    }

    String name() {
        String name = PlainForm.text(field());
        if (name.isEmpty()) {
            throw PlainForm.malformed("a name is empty");
        }
        return within(name, limits.nameBytes());
    }

    String reason() {
        String reason = PlainForm.text(field());
        if (reason.length() > limits.reasonCharacters()) {
            throw tooLong(reason.length(), limits.reasonCharacters());
        }
        return reason;
    }

    FieldReader nested() {
        return new FieldReader(PlainForm.list(field()), limits);
    }

    List<?> list(int most) {
        List<?> list = PlainForm.list(field());
        if (list.size() > most) {
            throw tooLong(list.size(), most);
        }
        return list;
    }

    SortedMap<String, Value> entries(int most) {
        SortedMap<String, Value> entries = PlainForm.entries(list(2 * most));
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

    TreeSet<String> keys(int most) {
        TreeSet<String> keys = new TreeSet<>(PlainForm.texts(list(most)));
        keys.forEach(this::requireKey);
        return keys;
    }

    private void requireKey(String key) {
        if (key.isEmpty()) {
            throw PlainForm.malformed("a key is empty");
        }
        within(key, limits.keyBytes());
    }

    private Object field() {
        if (!hasMore()) {
            throw PlainForm.malformed("a message ends after " + next + " fields");
        }
        return fields.get(next++);
    }

    private static String within(String text, int most) {
        int length = SizeEstimate.utf8Length(text);
        if (length > most) {
            throw tooLong(length, most);
        }
        return text;
    }

    private static ProtocolException tooLong(int length, int most) {
        return new ProtocolException(
                Kind.TOO_LARGE, "a string or list of length " + length + ", the limit is " + most);
    }
}
