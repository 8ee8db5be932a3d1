package holdproxy.scale;

/** Size of the target fleet, and the resources that may be spent on its control. */
final class TargetFleet {
    static final double PROXIES = 13_000;
    static final double SITES = 980;
    static final double ZONES = 94;
    static final double REGIONS = 25;
    static final double NODES = 2_700;
    static final double CONTROL_MACHINES = 25;
    static final double PROXIES_PER_CONTROL_MACHINE = PROXIES / CONTROL_MACHINES;
    static final double PROXIES_PER_RELAY = PROXIES / SITES;
    static final double REQUESTS_PER_S = 9_600_000;
    static final double CONFIGURATIONS_PER_DAY = 19_000;
    static final double PURGES_PER_S = 240;
    static final double FAILURES_PER_DAY = 37;
    static final double RESTARTS_PER_DAY = 1_700;

    /** Budget for control in one proxy: percent of a core, megabytes, bytes per second. */
    static final double PROXY_CPU_PERCENT = 1.1;

    static final double PROXY_MB = 64;
    static final double PROXY_BYTES_PER_S = 3_000;

    private TargetFleet() {}
}
