package holdproxy.scale;

import org.HdrHistogram.Histogram;

/**
 * Measures the distribution of the list of nodes without fan-out, where each proxy watches discovery itself,
 * by the number of proxies: idle watches, changes until they are in force everywhere, a start of all proxies
 * at once, and a restart of discovery.
 */
final class DiscoveryByProxies implements Measurement {
    private static final String WATCH = "watch of discovery by each proxy, whole list after a gap";
    private static final String PROXY = "proxy";
    private static final String DISCOVERY = "discovery";
    private static final String PROXIES = "proxies";
    private static final double START_OVER_S = 5;
    private static final double SETTLE_S = 5;
    private static final double BETWEEN_CHANGES_S = 0.5;

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
        Series served = findings.add(series(DISCOVERY, "idle watches", "% of a core", Double.NaN));
        Series serving = findings.add(series(DISCOVERY, "one change", "CPU ms", Double.NaN));
        Series start =
                findings.add(
                        series(
                                DISCOVERY,
                                "whole lists after all have started within 5 s",
                                "B",
                                Double.NaN));
        Series back =
                findings.add(
                        series(
                                DISCOVERY,
                                "until all watch again after it was away for 1 s",
                                "s",
                                Double.NaN));
        for (int size : spec.sizes()) {
            Histogram inForce = Latencies.histogram();
            try (HollowWatches watches =
                    new HollowWatches(context, size, spec.nodes(), START_OVER_S)) {
                context.say("%s: %d watches start", spec.kind().word, size);
                context.await("all watches hold the list", () -> watches.allAt(spec.nodes()));
                start.add(size, watches.stats().bytes());
                RunContext.pause(SETTLE_S);
                HollowWatches.Stats before = watches.stats();
                long beforeNs = System.nanoTime();
                ProcessUsage proxies = watches.usage();
                ProcessUsage discovery = watches.discovery.usage();
                RunContext.pause(spec.seconds());
                idleCpu.add(size, watches.usage().cpuPercentSince(proxies));
                served.add(size, watches.discovery.usage().cpuPercentSince(discovery));
                long bytes = watches.stats().bytes() - before.bytes();
                idleBytes.add(size, bytes / RunContext.secondsSince(beforeNs));
                heap.add(size, watches.heapMb());
                changes(
                        spec,
                        size,
                        watches,
                        context,
                        changeBytes,
                        changeCpu,
                        serving,
                        idleBytes,
                        idleCpu);
                watches.latencies(inForce);
                long version = restart(size, watches, context, back);
                HollowWatches.Stats after = watches.stats();
                findings.judge(
                        "every watch holds exactly the last version at " + size,
                        after.leastVersion() == version && after.mostVersion() == version,
                        "versions "
                                + after.leastVersion()
                                + " to "
                                + after.mostVersion()
                                + " of "
                                + version);
                findings.judge(
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
        return Series.of(role, quantity, unit, PROXIES, WATCH, TargetFleet.PROXIES, budget);
    }

    /** Measures the cost of changes, less that of the idle watches. */
    private static void changes(
            MeasureSpec spec,
            int size,
            HollowWatches watches,
            RunContext context,
            Series bytes,
            Series cpu,
            Series serving,
            Series idleBytes,
            Series idleCpu)
            throws InterruptedException {
        int changes = (int) Math.max(1, spec.seconds() / BETWEEN_CHANGES_S);
        HollowWatches.Stats before = watches.stats();
        ProcessUsage proxies = watches.usage();
        ProcessUsage discovery = watches.discovery.usage();
        long version = 0;
        for (int i = 0; i < changes; i++) {
            version = watches.discovery.ask("change").whole("version");
            RunContext.pause(BETWEEN_CHANGES_S);
        }
        long last = version;
        context.await("all watches hold the last change", () -> watches.allAt(last));
        ProcessUsage after = watches.usage();
        double seconds = (after.atNs() - proxies.atNs()) / 1e9;
        double idle = seconds * idleBytes.points().get(idleBytes.points().size() - 1).y();
        double idleCpuS = seconds * idleCpu.points().get(idleCpu.points().size() - 1).y() / 100;
        bytes.add(size, (watches.stats().bytes() - before.bytes() - idle) / changes);
        cpu.add(size, (after.cpuS() - proxies.cpuS() - idleCpuS) * 1e3 / changes);
        serving.add(size, (watches.discovery.usage().cpuS() - discovery.cpuS()) * 1e3 / changes);
    }

    /** Discovery closes all watches and is down for a second, with one change in that time. */
    private static long restart(int size, HollowWatches watches, RunContext context, Series back)
            throws InterruptedException {
        watches.discovery.ask("down");
        long version = watches.discovery.ask("change").whole("version");
        RunContext.pause(1);
        watches.discovery.ask("up");
        back.add(
                size,
                context.await("all watches are connected again", () -> watches.allAt(version)));
        context.say("%d watches are connected again", size);
        return version;
    }
}
