package holdproxy.scale;

import holdproxy.input.BadInput;
import java.util.Arrays;
import java.util.List;

/** Faults that are injected into the fan-out while changes are committed. */
enum FanoutFault {
    RELAY_KILLED("relay-killed", "a relay killed"),
    RELAY_STOPPED("relay-stopped", "a relay stopped for 10 s"),
    SLOW_READER("slow-reader", "a slow reader"),
    ZONE_RESTARTED("zone-restarted", "a zone's proxies restarted"),
    ALL_RESTARTED("all-restarted", "all proxies started at once");

    static final List<String> NAMES =
            Arrays.stream(values()).map(fault -> fault.configName).toList();

    /** Name in a run's TOML file. */
    final String configName;

    /** Text in the result. */
    final String description;

    FanoutFault(String word, String description) {
        this.configName = word;
        this.description = description;
    }

    static FanoutFault named(String word) {
        return Arrays.stream(values())
                .filter(fault -> fault.configName.equals(word))
                .findFirst()
                .orElseThrow(
                        () ->
                                new BadInput(
                                        "no fault is called "
                                                + word
                                                + "; the known ones are "
                                                + NAMES));
    }
}
