package holdproxy.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A JSON object with checked access to its values; errors name the place in the file or answer. */
final class JsonPart {
    private final String where;
    private final Map<?, ?> object;

    private JsonPart(String where, Map<?, ?> object) {
        this.where = where;
        this.object = object;
    }

    static JsonPart read(Path file) {
        try {
            return new JsonPart(
                    file.getFileName().toString(), JSON.std.mapFrom(Files.readString(file)));
        } catch (IOException e) {
            throw new BadInput(
                    "the result " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    static JsonPart parse(String where, String text) {
        try {
            return new JsonPart(where, JSON.std.mapFrom(text));
        } catch (IOException e) {
            throw new BadInput(where + " is not a JSON object: " + text);
        }
    }

    BadInput bad(String key, String why) {
        return new BadInput(where + ": " + key + " " + why);
    }

    String text(String key) {
        if (object.get(key) instanceof String text) {
            return text;
        }
        throw bad(key, "is missing or no text");
    }

    double number(String key) {
        double number = numberOr(key, Double.NaN);
        if (Double.isNaN(number)) {
            throw bad(key, "is missing or no number");
        }
        return number;
    }

    long whole(String key) {
        return (long) number(key);
    }

    double numberOr(String key, double fallback) {
        return object.get(key) instanceof Number number ? number.doubleValue() : fallback;
    }

    boolean flag(String key) {
        if (object.get(key) instanceof Boolean flag) {
            return flag;
        }
        throw bad(key, "is missing or neither true nor false");
    }

    List<?> list(String key) {
        if (object.get(key) instanceof List<?> list) {
            return list;
        }
        throw bad(key, "is missing or no list");
    }

    List<JsonPart> parts(String key) {
        List<JsonPart> parts = new ArrayList<>();
        for (Object each : list(key)) {
            if (!(each instanceof Map<?, ?> map)) {
                throw bad(key, "has an entry that is no object");
            }
            parts.add(new JsonPart(where + " " + key + " " + parts.size(), map));
        }
        return parts;
    }
}
