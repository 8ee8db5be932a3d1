package holdproxy.scale;

/** Measures whole lists by the number of nodes in them, at a fixed number of hollow proxies. */
final class DiscoveryByNodes implements Measurement {
    static final int WATCHES = 200;
    private static final String MECHANISM =
            "whole list to each proxy that starts or has missed too much";
    private static final String NODES = "nodes";
    private static final int MAX_LIST_BYTES = 1 << 20;
    private static final double START_SPREAD_S = 1;

    /** Rounds before the measured one, for the JIT compiler. */
    private static final int WARM_UP = 4;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series bytes = findings.add(series("proxy", "one whole list", "B", MAX_LIST_BYTES));
        Series cpu =
                findings.add(
                        series("proxy", "one whole list read and parsed", "CPU ms", Double.NaN));
        Series discoveryCpu =
                findings.add(series("discovery", "one whole list written", "CPU ms", Double.NaN));
        Series heap =
                findings.add(series("proxy", "names of nodes held by the watch", "kB", Double.NaN));
        for (int size : spec.sizes()) {
            try (HollowWatches watches =
                    new HollowWatches(context, WATCHES, size, START_SPREAD_S)) {
                context.logProgress(
                        "%s: %d watches of %d nodes", spec.kind().configName, WATCHES, size);
                context.await("all watches hold the list", () -> watches.allAt(size));
                HollowWatches.Stats first = watches.stats();
                bytes.add(size, (double) first.bytes() / first.lists());
                heap.add(size, watches.heapMb() * 1024 / WATCHES);
                for (int i = 0; i < WARM_UP; i++) {
                    reloadLists(watches, context);
                }
                ProcessUsage proxies = watches.usage();
                ProcessUsage discovery = watches.discovery.usage();
                reloadLists(watches, context);
                cpu.add(size, (watches.usage().cpuS() - proxies.cpuS()) * 1e3 / WATCHES);
                discoveryCpu.add(
                        size,
                        (watches.discovery.usage().cpuS() - discovery.cpuS()) * 1e3 / WATCHES);
                findings.addVerdict(
                        "every watch holds the list of " + size + " nodes",
                        watches.allAt(size),
                        "versions "
                                + watches.stats().leastVersion()
                                + " to "
                                + watches.stats().mostVersion());
            }
        }
    }

    private static void reloadLists(HollowWatches watches, RunContext context)
            throws InterruptedException {
        long lists = watches.stats().lists();
        watches.restartAll();
        context.await(
                "all watches hold the list again",
                () -> watches.stats().lists() >= lists + WATCHES);
    }

    private static Series series(String role, String quantity, String unit, double budget) {
        return Series.of(role, quantity, unit, NODES, MECHANISM, TargetFleet.NODES, budget);
    }
}
