package holdproxy.scale;

import org.HdrHistogram.Histogram;

/**
 * Measures the distribution of the list of nodes without fan-out, where each proxy watches discovery itself,
 * by the number of proxies: idle watches, changes until they are in force everywhere, a start of all proxies
 * at once, and a restart of discovery.
 */
final class DiscoveryByProxies implements Measurement {
    private static final String MECHANISM =
            "watch of discovery by each proxy, whole list after a gap";
    private static final String PROXY = "proxy";
    private static final String DISCOVERY = "discovery";
    private static final String PROXIES = "proxies";
    private static final double START_SPREAD_S = 5;
    private static final double SETTLE_S = 5;
    private static final double CHANGE_INTERVAL_S = 0.5;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series idleBytes =
                findings.add(
                        series(
                                PROXY,
                                "idle watches, all together",
                                "B/s",
                                TargetFleet.PROXY_BYTES_PER_S * TargetFleet.PROXIES));
        Series idleCpu =
                findings.add(
                        series(
                                PROXY,
                                "idle watches, all together",
                                "% of a core",
                                TargetFleet.PROXY_CPU_PERCENT * TargetFleet.PROXIES));
        Series changeBytes = findings.add(series(PROXY, "one change, to all", "B", Double.NaN));
        Series changeCpu = findings.add(series(PROXY, "one change, at all", "CPU ms", Double.NaN));
        Series heap = findings.add(series(PROXY, "watches held, all together", "MB", Double.NaN));
        Series discoveryIdleCpu =
                findings.add(series(DISCOVERY, "idle watches", "% of a core", Double.NaN));
        Series discoveryChangeCpu =
                findings.add(series(DISCOVERY, "one change", "CPU ms", Double.NaN));
        Series startBytes =
                findings.add(
                        series(
                                DISCOVERY,
                                "whole lists after all have started within 5 s",
                                "B",
                                Double.NaN));
        Series reconnectSeconds =
                findings.add(
                        series(
                                DISCOVERY,
                                "until all watch again after it was away for 1 s",
                                "s",
                                Double.NaN));
        for (int size : spec.sizes()) {
            Histogram inForce = Latencies.histogram();
            try (HollowWatches watches =
                    new HollowWatches(context, size, spec.nodes(), START_SPREAD_S)) {
                context.logProgress("%s: %d watches start", spec.kind().configName, size);
                context.await("all watches hold the list", () -> watches.allAt(spec.nodes()));
                startBytes.add(size, watches.stats().bytes());
                RunContext.pause(SETTLE_S);
                HollowWatches.Stats before = watches.stats();
                long beforeNs = System.nanoTime();
                ProcessUsage proxies = watches.usage();
                ProcessUsage discovery = watches.discovery.usage();
                RunContext.pause(spec.seconds());
                idleCpu.add(size, watches.usage().cpuPercentSince(proxies));
                discoveryIdleCpu.add(size, watches.discovery.usage().cpuPercentSince(discovery));
                long bytes = watches.stats().bytes() - before.bytes();
                idleBytes.add(size, bytes / RunContext.secondsSince(beforeNs));
                heap.add(size, watches.heapMb());
                measureChanges(
                        spec,
                        size,
                        watches,
                        context,
                        changeBytes,
                        changeCpu,
                        discoveryChangeCpu,
                        idleBytes,
                        idleCpu);
                watches.latencies(inForce);
                long version = measureRestart(size, watches, context, reconnectSeconds);
                HollowWatches.Stats after = watches.stats();
                findings.addVerdict(
                        "every watch holds exactly the last version at " + size,
                        after.leastVersion() == version && after.mostVersion() == version,
                        "versions "
                                + after.leastVersion()
                                + " to "
                                + after.mostVersion()
                                + " of "
                                + version);
                findings.addVerdict(
                        "no change skipped or out of order at " + size,
                        after.disorders() == 0,
                        after.disorders() + " of " + after.lists() + " lists");
            }
            findings.latencies()
                    .add(
                            new Latencies(
                                    "watch of discovery: change to in force at "
                                            + size
                                            + " hollow proxies",
                                    inForce));
        }
    }

    private static Series series(String role, String quantity, String unit, double budget) {
        return Series.of(role, quantity, unit, PROXIES, MECHANISM, TargetFleet.PROXIES, budget);
    }

    /** Measures the cost of changes, less that of the idle watches. */
    private static void measureChanges(
            MeasureSpec spec,
            int size,
            HollowWatches watches,
            RunContext context,
            Series bytes,
            Series cpu,
            Series discoveryCpu,
            Series idleBytes,
            Series idleCpu)
            throws InterruptedException {
        int changes = (int) Math.max(1, spec.seconds() / CHANGE_INTERVAL_S);
        HollowWatches.Stats before = watches.stats();
        ProcessUsage proxies = watches.usage();
        ProcessUsage discovery = watches.discovery.usage();
        long version = 0;
        for (int i = 0; i < changes; i++) {
            version = watches.discovery.ask("change").whole("version");
            RunContext.pause(CHANGE_INTERVAL_S);
        }
        long last = version;
        context.await("all watches hold the last change", () -> watches.allAt(last));
        ProcessUsage after = watches.usage();
        double seconds = (after.atNs() - proxies.atNs()) / 1e9;
        double idle = seconds * idleBytes.points().get(idleBytes.points().size() - 1).y();
        double idleCpuS = seconds * idleCpu.points().get(idleCpu.points().size() - 1).y() / 100;
        bytes.add(size, (watches.stats().bytes() - before.bytes() - idle) / changes);
        cpu.add(size, (after.cpuS() - proxies.cpuS() - idleCpuS) * 1e3 / changes);
        discoveryCpu.add(
                size, (watches.discovery.usage().cpuS() - discovery.cpuS()) * 1e3 / changes);
    }

    /** Discovery closes all watches and is down for a second, with one change in that time. */
    private static long measureRestart(
            int size, HollowWatches watches, RunContext context, Series reconnectSeconds)
            throws InterruptedException {
        watches.discovery.ask("down");
        long version = watches.discovery.ask("change").whole("version");
        RunContext.pause(1);
        watches.discovery.ask("up");
        reconnectSeconds.add(
                size,
                context.await("all watches are connected again", () -> watches.allAt(version)));
        context.logProgress("%d watches are connected again", size);
        return version;
    }
}
