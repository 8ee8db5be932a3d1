package holdproxy.emulator;

import java.util.List;

/**
 * A class of requests (BRIEF-pebbletide.md).
 *
 * @param name as in the settings
 * @param share of all operations
 * @param targetMs target response time
 * @param deadlineMs give-up time
 * @param relativeWork mean work of a request relative to the mean over all classes
 * @param value value of a request answered within its target time
 * @param effect as in the settings: pure, token (repeats are dropped for a time) or side_effect
 */
public record RequestClass(
        String name,
        double share,
        int targetMs,
        int deadlineMs,
        double relativeWork,
        double value,
        String effect) {
    public static final List<RequestClass> ALL =
            List.of(
                    new RequestClass("card-check", 0.58, 500, 1500, 0.82, 1, "pure"),
                    new RequestClass("member-record", 0.36, 600, 2000, 1.12, 2, "pure"),
                    new RequestClass("renewal", 0.033, 800, 4000, 1.6, 10, "token"),
                    new RequestClass("enrolment", 0.027, 1500, 3000, 2.6, 10, "side_effect"));

    /** The class of this name. */
    public static RequestClass named(String name) {
        return ALL.stream().filter(c -> c.name.equals(name)).findFirst().orElseThrow();
    }

    /** Whether its requests are writes. */
    public boolean isWrite() {
        return !effect.equals("pure");
    }

    /** Whether a request may run at most once; clients then repeat it only after a refusal. */
    public boolean onceOnly() {
        return effect.equals("side_effect");
    }
}
