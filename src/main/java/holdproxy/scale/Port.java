package holdproxy.scale;

import java.util.List;

/** The ports of a run. Each run has its own, so that two of them on one machine do not meet. */
enum Port {
    DISCOVERY,
    CLIENTS,
    MEMBERS,
    ASKERS,
    NODES,
    RELAYS;

    /** By which a run tells its processes. */
    private static final String PROPERTY = "holdproxy.scale.port";

    /** Below what systems give out by themselves. */
    private static final int FIRST = 12_000;

    private static final int RUNS = 2_000;
    private static final int STEP = 10;
    private static final int BASE =
            Integer.getInteger(
                    PROPERTY, FIRST + (int) (ProcessHandle.current().pid() % RUNS) * STEP);

    int number() {
        return BASE + ordinal();
    }

    /** Options of the JVM of a process of this run. */
    static List<String> options() {
        return List.of("-D" + PROPERTY + "=" + BASE);
    }
}
