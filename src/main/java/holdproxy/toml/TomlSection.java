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
 * A table of a TOML file with checked access. It records which keys were read, so that {@link
 * #rejectUnknownKeys} can report unknown ones. A value that is missing, unknown, of the wrong type or
 * out of range is a {@link BadInput} with the file and the line.
 */
public final class TomlSection {
    private final String file;
    private final String what;
    private final TomlTable table;
    private final TomlPosition position;
    private final Set<String> readKeys = new TreeSet<>();

    private TomlSection(String file, String what, TomlTable table, TomlPosition start) {
        this.file = file;
        this.what = what;
        this.table = table;
        this.position = start;
    }

    /** {@code file} names the file and {@code what} the table in error messages. */
    public static TomlSection parse(String file, String what, String text) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            throw new BadInput(
                    file
                            + " line "
                            + parsed.errors().get(0).position().line()
                            + ": "
                            + parsed.errors().get(0).getMessage());
        }
        return new TomlSection(file, what, parsed, null);
    }

    /** The position of a key, or of the table if the key is absent. */
    public TomlPosition positionOf(String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? position : at;
    }

    /** Returns an error with the file and the line. */
    public BadInput error(TomlPosition at, String why) {
        return new BadInput(file + (at == null ? "" : " line " + at.line()) + ": " + why);
    }

    /** Of a key's current and former name, the one that is present; the current one if neither is. */
    public String currentOrFormer(String current, String former) {
        if (!table.contains(List.of(former))) {
            return current;
        }
        if (table.contains(List.of(current))) {
            throw error(
                    positionOf(former),
                    former + " is the former name of " + current + "; both are stated");
        }
        return former;
    }

    private Object value(String key) {
        readKeys.add(key);
        return table.get(List.of(key));
    }

    /** A string, or the fallback if the key is absent. */
    public String string(String key, String fallback) {
        Object value = value(key);
        if (value == null || value instanceof String) {
            return value == null ? fallback : (String) value;
        }
        throw error(positionOf(key), key + " is no text");
    }

    /** A required string, converted by {@code reader}; its {@link BadInput} gets the file and the line. */
    public <T> T requiredString(String key, Function<String, T> reader) {
        if (value(key) == null) {
            throw error(position, key + " is missing from " + what);
        }
        try {
            return reader.apply(string(key, ""));
        } catch (BadInput e) {
            throw error(positionOf(key), e.getMessage());
        }
    }

    /** A list of strings, each checked by {@code reader}; empty if the key is absent. */
    public List<String> strings(String key, Function<String, ?> reader) {
        List<String> texts = new ArrayList<>();
        TomlArray array = array(key);
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof String text)) {
                throw error(
                        array.inputPositionOf(i),
                        key + " in " + what + " has an entry that is no text");
            }
            try {
                reader.apply(text);
            } catch (BadInput e) {
                throw error(array.inputPositionOf(i), e.getMessage());
            }
            texts.add(text);
        }
        return texts;
    }

    /** The keys that are present. */
    public Set<String> keys() {
        return table.keySet();
    }

    /** A table as plain maps, lists, strings, numbers and booleans; empty if the key is absent. */
    public Map<String, Object> map(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw error(positionOf(key), key + " is no table, [" + key + "]");
        }
        return value == null ? Map.of() : toPlain((TomlTable) value);
    }

    private static Map<String, Object> toPlain(TomlTable table) {
        Map<String, Object> map = new LinkedHashMap<>();
        table.keySet().forEach(k -> map.put(k, toPlain(table.get(List.of(k)))));
        return map;
    }

    private static Object toPlain(Object value) {
        if (value instanceof TomlTable inner) {
            return toPlain(inner);
        }
        if (value instanceof TomlArray array) {
            List<Object> list = new ArrayList<>();
            for (int i = 0; i < array.size(); i++) {
                list.add(toPlain(array.get(i)));
            }
            return list;
        }
        return value instanceof Number || value instanceof Boolean ? value : value.toString();
    }

    /** The position of a dotted path of keys and list indexes, or of the innermost existing parent. */
    public TomlPosition positionOfPath(String path) {
        TomlPosition at = position;
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

    /** A number within bounds, or the fallback if the key is absent. */
    public double number(String key, double fallback, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        throw error(
                positionOf(key),
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

    /** A required number within bounds. */
    public double requiredNumber(String key, double least, double most) {
        if (value(key) == null) {
            throw error(position, key + " is missing from " + what);
        }
        return number(key, 0, least, most);
    }

    /** A whole number within bounds, or the fallback if the key is absent. */
    public int integer(String key, int fallback, int least, int most) {
        double value = number(key, fallback, least, most);
        if (value != Math.rint(value)) {
            throw error(positionOf(key), key + " in " + what + " is not a whole number: " + value);
        }
        return (int) value;
    }

    /** A list, or null if the key is absent. */
    public TomlArray array(String key) {
        Object value = value(key);
        if (value == null || value instanceof TomlArray) {
            return (TomlArray) value;
        }
        throw error(positionOf(key), key + " in " + what + " is no list");
    }

    /** A table, {@code [key]}; an empty one if the key is absent. */
    public TomlSection section(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw error(positionOf(key), key + " is no table, [" + key + "]");
        }
        return new TomlSection(
                file,
                "[" + key + "]",
                value == null ? Toml.parse("") : (TomlTable) value,
                positionOf(key));
    }

    /** A list of tables, {@code [[key]]}; empty if the key is absent. */
    public List<TomlSection> sections(String key) {
        List<TomlSection> parts = new ArrayList<>();
        TomlArray array = array(key);
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable each)) {
                throw error(
                        array.inputPositionOf(i),
                        key + " is not a list of tables, [[" + key + "]]");
            }
            parts.add(new TomlSection(file, "[[" + key + "]]", each, array.inputPositionOf(i)));
        }
        return parts;
    }

    /** A boolean; false if the key is absent. */
    public boolean flag(String key) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw error(positionOf(key), key + " in " + what + " is neither true nor false");
    }

    /** A required string that is one of these words. */
    public String requiredChoice(String key, List<String> words) {
        String word = string(key, "");
        if (!words.contains(word)) {
            throw error(
                    positionOf(key),
                    key + " in " + what + " is not one of " + String.join(", ", words));
        }
        return word;
    }

    /** Throws a {@link BadInput} for the first key that was never read, which is thus unknown. */
    public void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!readKeys.contains(key)) {
                throw error(
                        positionOf(key),
                        key
                                + " is unknown in "
                                + what
                                + "; known are "
                                + String.join(", ", readKeys));
            }
        }
    }
}
