package holdproxy.input;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a new configuration file has every key of the file in use, with a value of the same type. The
 * file in use thus serves as the schema. Values are JSON values.
 */
public final class RequiredKeys {
    private RequiredKeys() {}

    /** Throws a {@link BadInput} that names the first key of {@code inUse} which {@code next} lacks. */
    public static void check(Map<String, ?> inUse, Map<String, ?> next) {
        check("", inUse, next);
    }

    private static void check(String path, Object inUse, Object next) {
        if (inUse == null) {
            return;
        }
        if (next == null) {
            throw new BadInput(path + " is missing");
        }
        if (inUse instanceof Map<?, ?> map) {
            Map<?, ?> other = next instanceof Map<?, ?> m ? m : reject(path, "an object");
            String before = path.isEmpty() ? "" : path + ".";
            map.forEach((key, value) -> check(before + key, value, other.get(key)));
        } else if (inUse instanceof List<?> list) {
            List<?> other = next instanceof List<?> l ? l : reject(path, "a list");
            // Each entry needs the keys that all entries in use have; other keys are optional.
            Object required = commonKeys(list);
            for (int i = 0; i < other.size(); i++) {
                check(path + "." + i, required, other.get(i));
            }
        } else if (inUse instanceof Number && !(next instanceof Number)) {
            reject(path, "a number");
        } else if (inUse instanceof Boolean && !(next instanceof Boolean)) {
            reject(path, "true or false");
        } else if (inUse instanceof String && !(next instanceof String)) {
            reject(path, "text");
        }
    }

    /** The keys that all entries have, or the first entry if it is no object; null for an empty list. */
    private static Object commonKeys(List<?> entries) {
        if (entries.isEmpty() || !(entries.get(0) instanceof Map<?, ?> first)) {
            return entries.isEmpty() ? null : entries.get(0);
        }
        Map<Object, Object> common = new LinkedHashMap<>(first);
        for (Object entry : entries) {
            common.keySet().removeIf(key -> !(entry instanceof Map<?, ?> m) || m.get(key) == null);
        }
        return common;
    }

    private static <T> T reject(String path, String wanted) {
        throw new BadInput(path + " is not " + wanted);
    }
}
