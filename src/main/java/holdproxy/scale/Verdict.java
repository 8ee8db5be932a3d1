package holdproxy.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rule, and whether a run kept it.
 *
 * @param rule in words
 * @param kept whether it was
 * @param detail what was looked at, or what broke it
 */
record Verdict(String rule, boolean kept, String detail) {
    Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("rule", rule);
        json.put("kept", kept);
        json.put("detail", detail);
        return json;
    }

    static Verdict read(JsonPart json) {
        return new Verdict(json.text("rule"), json.flag("kept"), json.text("detail"));
    }
}
