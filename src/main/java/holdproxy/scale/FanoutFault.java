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

    static final List<String> WORDS = Arrays.stream(values()).map(fault -> fault.word).toList();

    /** Name in a run's TOML file. */
    final String word;

    /** Text in the result. */
    final String description;

    FanoutFault(String word, String description) {
        this.word = word;
        this.description = description;
    }

    static FanoutFault named(String word) {
        return Arrays.stream(values())
                .filter(fault -> fault.word.equals(word))
                .findFirst()
                .orElseThrow(
                        () ->
                                new BadInput(
                                        "no fault is called "
                                                + word
                                                + "; the known ones are "
                                                + WORDS));
    }
}
