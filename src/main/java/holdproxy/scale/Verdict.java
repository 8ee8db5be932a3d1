package holdproxy.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rule that was checked in a run, and the outcome.
 *
 * @param rule description of the rule
 * @param kept whether the run kept it
 * @param detail observed values
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
