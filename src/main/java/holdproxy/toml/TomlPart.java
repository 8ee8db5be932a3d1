package holdproxy.toml;

import holdproxy.input.BadInput;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a TOML file: gives out its values checked, and knows which of its keys were asked for. What is
 * missing, unknown, of another kind or out of its bounds is a {@link BadInput} with the file and the line.
 */
public final class TomlPart {
    private final String file;
    private final String what;
    private final TomlTable table;
    private final TomlPosition start;
    private final Set<String> asked = new TreeSet<>();

    private TomlPart(String file, String what, TomlTable table, TomlPosition start) {
        this.file = file;
        this.what = what;
        this.table = table;
        this.start = start;
    }

    /** {@code file}: its name, for errors; {@code what} the table is. */
    public static TomlPart parse(String file, String what, String text) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            throw new BadInput(
                    file
                            + " line "
                            + parsed.errors().get(0).position().line()
                            + ": "
                            + parsed.errors().get(0).getMessage());
        }
        return new TomlPart(file, what, parsed, null);
    }

    /** Where a key stands, or the table where it does not. */
    public TomlPosition at(String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? start : at;
    }

    /** An error that names the file and the line. */
    public BadInput bad(TomlPosition at, String why) {
        return new BadInput(file + (at == null ? "" : " line " + at.line()) + ": " + why);
    }

    /** The key that is stated of two that mean the same; the current one where neither is. */
    public String currentOrFormer(String current, String former) {
        if (!table.contains(List.of(former))) {
            return current;
        }
        if (table.contains(List.of(current))) {
            throw bad(
                    at(former), former + " is the former name of " + current + "; both are stated");
        }
        return former;
    }

    private Object value(String key) {
        asked.add(key);
        return table.get(List.of(key));
    }

    /** A text, or the fallback where it is not stated. */
    public String text(String key, String fallback) {
        Object value = value(key);
        if (value == null || value instanceof String) {
            return value == null ? fallback : (String) value;
        }
        throw bad(at(key), key + " is no text");
    }

    /** A text that has to be stated, as {@code reader} reads it; what that says of it gets the line. */
    public <T> T read(String key, Function<String, T> reader) {
        if (value(key) == null) {
            throw bad(start, key + " is missing from " + what);
        }
        try {
            return reader.apply(text(key, ""));
        } catch (BadInput e) {
            throw bad(at(key), e.getMessage());
        }
    }

    /** A list of texts, each as {@code reader} can read it; empty where it is not stated. */
    public List<String> texts(String key, Function<String, ?> reader) {
        List<String> texts = new ArrayList<>();
        TomlArray array = array(key);
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof String text)) {
                throw bad(
                        array.inputPositionOf(i),
                        key + " in " + what + " has an entry that is no text");
            }
            try {
                reader.apply(text);
            } catch (BadInput e) {
                throw bad(array.inputPositionOf(i), e.getMessage());
            }
            texts.add(text);
        }
        return texts;
    }

    /** The keys that are stated. */
    public Set<String> keys() {
        return table.keySet();
    }

    /** A table with all that is in it as maps, lists, texts, numbers, truths; empty where there is none. */
    public Map<String, Object> map(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw bad(at(key), key + " is no table, [" + key + "]");
        }
        return value == null ? Map.of() : plain((TomlTable) value);
    }

    private static Map<String, Object> plain(TomlTable table) {
        Map<String, Object> map = new LinkedHashMap<>();
        table.keySet().forEach(k -> map.put(k, plain(table.get(List.of(k)))));
        return map;
    }

    private static Object plain(Object value) {
        if (value instanceof TomlTable inner) {
            return plain(inner);
        }
        if (value instanceof TomlArray array) {
            List<Object> list = new ArrayList<>();
            for (int i = 0; i < array.size(); i++) {
                list.add(plain(array.get(i)));
            }
            return list;
        }
        return value instanceof Number || value instanceof Boolean ? value : value.toString();
    }

    /** Where the value of this path stands, keys and numbers of entries joined by dots, or what holds it. */
    public TomlPosition atPath(String path) {
        TomlPosition at = start;
        Object inside = table;
        for (String step : path.split("\\.")) {
            if (inside instanceof TomlTable t && t.contains(List.of(step))) {
                at = t.inputPositionOf(List.of(step));
                inside = t.get(List.of(step));
            } else if (inside instanceof TomlArray a
                    && step.matches("\\d{1,6}")
                    && Integer.parseInt(step) < a.size()) {
                at = a.inputPositionOf(Integer.parseInt(step));
                inside = a.get(Integer.parseInt(step));
            } else {
                return at;
            }
        }
        return at;
    }

    /** A number within bounds, or the fallback where it is not stated. */
    public double number(String key, double fallback, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        throw bad(
                at(key),
                key
                        + " in "
                        + what
                        + " is not a number from "
                        + least
                        + " to "
                        + most
                        + ": "
                        + value);
    }

    /** A number within bounds, which has to be stated. */
    public double needed(String key, double least, double most) {
        if (value(key) == null) {
            throw bad(start, key + " is missing from " + what);
        }
        return number(key, 0, least, most);
    }

    /** A whole number within bounds, or the fallback where it is not stated. */
    public int whole(String key, int fallback, int least, int most) {
        double value = number(key, fallback, least, most);
        if (value != Math.rint(value)) {
            throw bad(at(key), key + " in " + what + " is not a whole number: " + value);
        }
        return (int) value;
    }

    /** A list; null where it is not stated. */
    public TomlArray array(String key) {
        Object value = value(key);
        if (value == null || value instanceof TomlArray) {
            return (TomlArray) value;
        }
        throw bad(at(key), key + " in " + what + " is no list");
    }

    /** A table, {@code [key]}; an empty one where there is none. */
    public TomlPart part(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw bad(at(key), key + " is no table, [" + key + "]");
        }
        return new TomlPart(
                file, "[" + key + "]", value == null ? Toml.parse("") : (TomlTable) value, at(key));
    }

    /** A list of tables, {@code [[key]]}; none where there is none. */
    public List<TomlPart> parts(String key) {
        List<TomlPart> parts = new ArrayList<>();
        TomlArray array = array(key);
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable each)) {
                throw bad(
                        array.inputPositionOf(i),
                        key + " is not a list of tables, [[" + key + "]]");
            }
            parts.add(new TomlPart(file, "[[" + key + "]]", each, array.inputPositionOf(i)));
        }
        return parts;
    }

    /** True or false; false where it is not stated. */
    public boolean flag(String key) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw bad(at(key), key + " in " + what + " is neither true nor false");
    }

    /** One of these words, which has to be stated. */
    public String word(String key, List<String> words) {
        String word = text(key, "");
        if (!words.contains(word)) {
            throw bad(at(key), key + " in " + what + " is not one of " + String.join(", ", words));
        }
        return word;
    }

    /** All that there is was asked for; what was not is unknown. */
    public void done() {
        for (String key : table.keySet()) {
            if (!asked.contains(key)) {
                throw bad(
                        at(key),
                        key + " is unknown in " + what + "; known are " + String.join(", ", asked));
            }
        }
    }
}
