package holdproxy.toml;

import holdproxy.input.BadInput;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
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
            throw new BadInput(file + " line " + parsed.errors().get(0).position().line() + ": "
                + parsed.errors().get(0).getMessage());
        }
        return new TomlPart(file, what, parsed, null);
    }

    /** Where a key stands, or the table where it does not. */
    public TomlPosition at(String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? start : at;
    }

    public BadInput bad(TomlPosition at, String why) {
        return new BadInput(file + (at == null ? "" : " line " + at.line()) + ": " + why);
    }

    private Object value(String key) {
        asked.add(key);
        return table.get(List.of(key));
    }

    public String text(String key, String fallback) {
        Object value = value(key);
        if (value == null || value instanceof String) {
            return value == null ? fallback : (String) value;
        }
        throw bad(at(key), key + " is no text");
    }

    public double number(String key, double fallback, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
            return n.doubleValue();
        }
        throw bad(at(key), key + " in " + what + " is not a number from " + least + " to " + most
            + ": " + value);
    }

    public double needed(String key, double least, double most) {
        if (value(key) == null) {
            throw bad(start, key + " is missing from " + what);
        }
        return number(key, 0, least, most);
    }

    public int whole(String key, int fallback, int least, int most) {
        double value = number(key, fallback, least, most);
        if (value != Math.rint(value)) {
            throw bad(at(key), key + " in " + what + " is not a whole number: " + value);
        }
        return (int) value;
    }

    public TomlArray array(String key) {
        Object value = value(key);
        if (value == null || value instanceof TomlArray) {
            return (TomlArray) value;
        }
        throw bad(at(key), key + " in " + what + " is no list");
    }

    public TomlPart part(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw bad(at(key), key + " is no table, [" + key + "]");
        }
        return new TomlPart(file, "[" + key + "]", value == null ? Toml.parse("") : (TomlTable) value,
            at(key));
    }

    /** A list of tables, {@code [[key]]}; none where there is none. */
    public List<TomlPart> parts(String key) {
        List<TomlPart> parts = new ArrayList<>();
        TomlArray array = array(key);
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable each)) {
                throw bad(array.inputPositionOf(i), key + " is not a list of tables, [[" + key + "]]");
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
                throw bad(at(key), key + " is unknown in " + what + "; known are "
                    + String.join(", ", asked));
            }
        }
    }
}
