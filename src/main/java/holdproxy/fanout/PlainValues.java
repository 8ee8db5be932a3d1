package holdproxy.fanout;

import holdproxy.fanout.ProtocolException.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Converts records to plain values (lists of strings, integers, byte arrays and lists) and back. Values
 * of the wrong type are reported as {@link Kind#MALFORMED}.
 */
final class PlainValues {
    private PlainValues() {}

    // ---- records to plain values ----

    /** A list of epoch, number, puts and deletes. */
    static List<Object> toPlain(Change change) {
        return List.of(
                change.position().epoch(),
                change.position().number(),
                toPlain(change.puts()),
                List.copyOf(change.deletes()));
    }

    /** A flat list of alternating keys and values. */
    static List<Object> toPlain(Map<String, Value> entries) {
        List<Object> plain = new ArrayList<>(2 * entries.size());
        entries.forEach(
                (key, value) -> {
                    plain.add(key);
                    plain.add(value.bytes());
                });
        return plain;
    }

    // ---- plain values to records ----

    static Change change(List<?> fields, int first) {
        return new Change(
                position(fields, first),
                entries(fields.get(first + 2)),
                new TreeSet<>(texts(fields.get(first + 3))));
    }

    static Position position(List<?> fields, int first) {
        long epoch = number(fields.get(first));
        long number = number(fields.get(first + 1));
        if (epoch < 0 || number < 0) {
            throw malformed("negative position: " + epoch + "/" + number);
        }
        return new Position(epoch, number);
    }

    static SortedMap<String, Value> entries(Object plain) {
        List<?> flat = list(plain);
        if (flat.size() % 2 != 0) {
            throw malformed("a key has no value");
        }
        TreeMap<String, Value> entries = new TreeMap<>();
        for (int i = 0; i < flat.size(); i += 2) {
            if (entries.put(text(flat.get(i)), value(flat.get(i + 1))) != null) {
                throw malformed("key " + flat.get(i) + " occurs twice");
            }
        }
        return entries;
    }

    static List<String> texts(Object plain) {
        List<String> texts = new ArrayList<>();
        for (Object each : list(plain)) {
            texts.add(text(each));
        }
        return texts;
    }

    static List<?> list(Object plain) {
        if (plain instanceof List<?> list) {
            return list;
        }
        throw malformed(typeOf(plain) + " instead of a list");
    }

    static String text(Object plain) {
        if (plain instanceof String text) {
            return text;
        }
        throw malformed(typeOf(plain) + " instead of a string");
    }

    static long number(Object plain) {
        if (plain instanceof Integer || plain instanceof Long) {
            return ((Number) plain).longValue();
        }
        throw malformed(typeOf(plain) + " instead of an integer");
    }

    static Value value(Object plain) {
        if (plain instanceof byte[] bytes) {
            return Value.of(bytes);
        }
        throw malformed(typeOf(plain) + " instead of bytes");
    }

    static ProtocolException malformed(String detail) {
        return new ProtocolException(Kind.MALFORMED, detail);
    }

    private static String typeOf(Object plain) {
        return plain == null ? "null" : "a " + plain.getClass().getSimpleName();
    }
}
