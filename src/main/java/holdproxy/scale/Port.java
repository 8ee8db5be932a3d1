package holdproxy.scale;

import java.util.List;

/** Ports of a run. They depend on the process id, so that two runs on one machine do not clash. */
enum Port {
    DISCOVERY,
    CLIENTS,
    MEMBERS,
    ASKERS,
    NODES,
    RELAYS;

    /** System property that passes the base port to child processes. */
    private static final String PROPERTY = "holdproxy.scale.port";

    /** All ports are below the range of ephemeral ports. */
    private static final int FIRST = 12_000;

    private static final int RUNS = 2_000;
    private static final int STEP = 10;
    private static final int BASE =
            Integer.getInteger(
                    PROPERTY, FIRST + (int) (ProcessHandle.current().pid() % RUNS) * STEP);

    int number() {
        return BASE + ordinal();
    }

    /** JVM options for child processes of this run. */
    static List<String> options() {
        return List.of("-D" + PROPERTY + "=" + BASE);
    }
}
