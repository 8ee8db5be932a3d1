package holdproxy.scale;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Measures the fan-out of versioned changes by the number of proxies, without and with faults. */
final class FanoutByProxies implements Measurement {
    private static final String MECHANISM =
            "fan-out tree of versioned changes, a relay for each zone";
    private static final double START_SPREAD_S = 5;
    private static final double SETTLE_S = 5;
    private static final double CHANGE_INTERVAL_S = 0.5;

    private static final double RELAYS = TargetFleet.ZONES;

    private enum Load {
        IDLE,
        CHANGING
    }

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        RoleSeries slopes = new RoleSeries(findings);
        for (int size : spec.sizes()) {
            try (HollowFanout fanout =
                    new HollowFanout(context, size, spec.proxies(), START_SPREAD_S)) {
                context.logProgress(
                        "%s: %d proxies, %d relays starting",
                        spec.kind().configName, size, fanout.topology.relays());
                long startNs = System.nanoTime();
                context.await("all proxies hold the state", () -> fanout.allAt(ControlChild.KEYS));
                awaitNoMoves(context, fanout);
                slopes.started.add(size, RunContext.secondsSince(startNs));
                context.logProgress("%d proxies no longer move between relays", size);
                slopes.addMemory(size, fanout);
                measureUsage(Load.IDLE, spec, size, fanout, slopes);
                fanout.latencies(fanout.proxies());
                long number = measureUsage(Load.CHANGING, spec, size, fanout, slopes);
                context.await("all proxies hold the last change", () -> fanout.allAt(number));
                addLatencies(findings, "without faults", size, fanout.latencies(fanout.proxies()));
                checkDelivery(findings, "without faults", size, number, fanout);
                new FanoutFaults(spec, context, findings, fanout).injectAll();
                Histogram real = fanout.realLatencies();
                addRealLatencies(findings, spec, size, real);
            }
        }
    }

    /** Waits until no proxy has moved to another relay for {@link #SETTLE_S}. */
    private static void awaitNoMoves(RunContext context, HollowFanout fanout)
            throws InterruptedException {
        long[] last = {-1, System.nanoTime()};
        context.await(
                "no proxy moves to another relay",
                () -> {
                    long moves = fanout.stats().moves();
                    if (moves != last[0]) {
                        last[0] = moves;
                        last[1] = System.nanoTime();
                    }
                    return RunContext.secondsSince(last[1]) > SETTLE_S;
                });
    }

    private static void addRealLatencies(
            Findings findings, MeasureSpec spec, int size, Histogram values) {
        String what =
                "fan-out: commit to in force at %d real daemons beside %d hollow proxies, all"
                        + " phases";
        findings.latencies()
                .add(new Latencies(String.format(Locale.ROOT, what, spec.proxies(), size), values));
    }

    static void addLatencies(Findings findings, String when, int size, Histogram values) {
        findings.latencies()
                .add(
                        new Latencies(
                                "fan-out: commit to in force at "
                                        + size
                                        + " hollow proxies, "
                                        + when,
                                values));
    }

    static void checkDelivery(
            Findings findings, String when, int size, long number, HollowFanout fanout) {
        HollowFanout.Stats stats = fanout.stats();
        findings.addVerdict(
                "every proxy holds exactly the last version at " + size + ", " + when,
                stats.leastNumber() == number && stats.mostNumber() == number,
                "numbers " + stats.leastNumber() + " to " + stats.mostNumber() + " of " + number);
        findings.addVerdict(
                "no change skipped, twice or out of order at " + size + ", " + when,
                stats.disorders() == 0 && stats.rejected() == 0,
                stats.disorders()
                        + " disorders, "
                        + stats.rejected()
                        + " rejected, "
                        + stats.snapshots()
                        + " snapshots, "
                        + stats.moves()
                        + " moves");
    }

    /** Measures the usage of all roles, idle or with changes; returns the number of the last change. */
    private static long measureUsage(
            Load load, MeasureSpec spec, int size, HollowFanout fanout, RoleSeries slopes)
            throws InterruptedException {
        Reading before = Reading.of(fanout);
        long number = 0;
        long startNs = System.nanoTime();
        while (RunContext.secondsSince(startNs) < spec.seconds()) {
            if (load == Load.CHANGING) {
                number = fanout.commit();
            }
            RunContext.pause(CHANGE_INTERVAL_S);
        }
        Reading after = Reading.of(fanout);
        if (load == Load.IDLE) {
            slopes.addIdle(size, fanout.topology.relays(), before, after);
        } else {
            slopes.addChanging(size, fanout.topology.relays(), before, after);
        }
        return number;
    }

    /** Resources used by each role so far. */
    private record Reading(
            ProcessUsage proxies,
            ProcessUsage relays,
            ProcessUsage control,
            long proxyBytes,
            long relayBytes,
            long controlBytes) {
        static Reading of(HollowFanout fanout) {
            HollowFanout.Stats stats = fanout.stats();
            List<JsonPart> relays = HollowFanout.ask(fanout.relays(), "stats");
            JsonPart control = fanout.control.ask("stats");
            return new Reading(
                    HollowFanout.usage(fanout.proxies()),
                    HollowFanout.usage(fanout.relays()),
                    fanout.control.usage(),
                    stats.received() + stats.sent(),
                    HollowFanout.sum(relays, r -> r.whole("received") + r.whole("sent")),
                    control.whole("received") + control.whole("sent"));
        }

        double secondsSince(Reading before) {
            return (proxies.atNs() - before.proxies.atNs()) / 1e9;
        }
    }

    /** The series of all roles. */
    private static final class RoleSeries {
        private final Series started;
        private final Series proxyHeap;
        private final Series proxyIdleBytes;
        private final Series proxyIdleCpu;
        private final Series proxyBytes;
        private final Series proxyCpu;
        private final Series relayHeap;
        private final Series relayResident;
        private final Series relayIdleBytes;
        private final Series relayIdleCpu;
        private final Series relayBytes;
        private final Series relayCpu;
        private final Series controlIdleBytes;
        private final Series controlIdleCpu;
        private final Series controlBytes;
        private final Series controlCpu;
        private final Series controlResident;

        RoleSeries(Findings findings) {
            double cpuPercent = TargetFleet.PROXY_CPU_PERCENT * TargetFleet.PROXIES;
            double bytes = TargetFleet.PROXY_BYTES_PER_S * TargetFleet.PROXIES;
            double megabytes = TargetFleet.PROXY_MB * TargetFleet.PROXIES;
            started =
                    proxy(
                            findings,
                            "until all hold the state and stay, started within 5 s",
                            "s",
                            Double.NaN);
            proxyHeap = proxy(findings, "subscribers held, all together", "MB", megabytes);
            proxyIdleBytes = proxy(findings, "idle, all together", "B/s", bytes);
            proxyIdleCpu = proxy(findings, "idle, all together", "% of a core", cpuPercent);
            proxyBytes = proxy(findings, "2 changes/s of 200 B, all together", "B/s", bytes);
            proxyCpu =
                    proxy(
                            findings,
                            "2 changes/s of 200 B, all together",
                            "% of a core",
                            cpuPercent);
            relayHeap = relay(findings, "relays held, all together", "MB");
            relayResident = relay(findings, "their processes, all together", "MB resident");
            relayIdleBytes = relay(findings, "idle, all together", "B/s");
            relayIdleCpu = relay(findings, "idle, all together", "% of a core");
            relayBytes = relay(findings, "2 changes/s of 200 B, all together", "B/s");
            relayCpu = relay(findings, "2 changes/s of 200 B, all together", "% of a core");
            controlIdleBytes = control(findings, "idle", "B/s");
            controlIdleCpu = control(findings, "idle", "% of a core");
            controlBytes = control(findings, "2 changes/s of 200 B", "B/s");
            controlCpu = control(findings, "2 changes/s of 200 B", "% of a core");
            controlResident = control(findings, "its process", "MB resident");
        }

        private static Series proxy(
                Findings findings, String quantity, String unit, double budget) {
            return findings.add(
                    Series.of(
                            "proxy",
                            quantity,
                            unit,
                            "proxies",
                            MECHANISM,
                            TargetFleet.PROXIES,
                            budget));
        }

        private static Series relay(Findings findings, String quantity, String unit) {
            return findings.add(
                    Series.of(
                            "relay of a zone",
                            quantity,
                            unit,
                            "relays",
                            MECHANISM,
                            RELAYS,
                            Double.NaN));
        }

        private static Series control(Findings findings, String quantity, String unit) {
            return findings.add(
                    Series.of(
                            "control machine",
                            quantity,
                            unit,
                            "relays",
                            MECHANISM,
                            RELAYS,
                            Double.NaN));
        }

        void addMemory(int size, HollowFanout fanout) {
            int relays = fanout.topology.relays();
            proxyHeap.add(size, HollowFanout.heapMb(fanout.proxies()));
            relayHeap.add(relays, HollowFanout.heapMb(fanout.relays()));
            relayResident.add(relays, HollowFanout.usage(fanout.relays()).residentMb());
            controlResident.add(relays, fanout.control.usage().residentMb());
        }

        void addIdle(int size, int relays, Reading before, Reading after) {
            double seconds = after.secondsSince(before);
            proxyIdleBytes.add(size, (after.proxyBytes() - before.proxyBytes()) / seconds);
            proxyIdleCpu.add(size, after.proxies().cpuPercentSince(before.proxies()));
            relayIdleBytes.add(relays, (after.relayBytes() - before.relayBytes()) / seconds);
            relayIdleCpu.add(relays, after.relays().cpuPercentSince(before.relays()));
            controlIdleBytes.add(relays, (after.controlBytes() - before.controlBytes()) / seconds);
            controlIdleCpu.add(relays, after.control().cpuPercentSince(before.control()));
        }

        void addChanging(int size, int relays, Reading before, Reading after) {
            double seconds = after.secondsSince(before);
            proxyBytes.add(size, (after.proxyBytes() - before.proxyBytes()) / seconds);
            proxyCpu.add(size, after.proxies().cpuPercentSince(before.proxies()));
            relayBytes.add(relays, (after.relayBytes() - before.relayBytes()) / seconds);
            relayCpu.add(relays, after.relays().cpuPercentSince(before.relays()));
            controlBytes.add(relays, (after.controlBytes() - before.controlBytes()) / seconds);
            controlCpu.add(relays, after.control().cpuPercentSince(before.control()));
        }
    }
}
