package holdproxy.scale;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Measures configuration reloads without fan-out, by a whole file and SIGHUP, by the number of reloads. */
final class ReloadByCount implements Measurement {
    private static final String MECHANISM = "whole file and SIGHUP, by hand";
    private static final String TAKEN = "settings taken";
    private static final InetSocketAddress UNUSED_ADDRESS = LoopbackNetwork.address(0, 0, 1, 1);
    private static final int FLEET = 1;

    /** A daemon's log suppresses lines that repeat more often. */
    private static final double RELOAD_INTERVAL_S = 0.3;

    /** Reloads before the measured ones, for the JIT compiler. */
    private static final int WARM_UP = 60;

    @Override
    public void measure(MeasureSpec spec, RunContext context, Findings findings) throws Exception {
        Series cpu = findings.add(series("reloads", "CPU ms"));
        Series bytes = findings.add(series("files read", "B"));
        Histogram inForce = Latencies.histogram();
        try (DaemonFleet fleet = new DaemonFleet(context, FLEET)) {
            fleet.start(spec.proxies(), 0, UNUSED_ADDRESS, context);
            List<DaemonFleet.Daemon> daemons = fleet.daemons();
            for (int i = 0; i < WARM_UP; i++) {
                reload(fleet, i, context, Latencies.histogram());
            }
            for (int size : spec.sizes()) {
                context.logProgress(
                        "%s: %d reloads of %d daemons",
                        spec.kind().configName, size, daemons.size());
                double before = daemons.stream().mapToDouble(d -> d.usage().cpuS()).sum();
                long read = 0;
                for (int i = 0; i < size; i++) {
                    read += reload(fleet, i, context, inForce);
                }
                double after = daemons.stream().mapToDouble(d -> d.usage().cpuS()).sum();
                cpu.add(size, (after - before) * 1e3 / daemons.size());
                bytes.add(size, (double) read / daemons.size());
            }
        }
        findings.latencies()
                .add(
                        new Latencies(
                                "file and SIGHUP: file written to settings taken, at "
                                        + spec.proxies()
                                        + " daemons",
                                inForce));
    }

    private static Series series(String quantity, String unit) {
        return Series.of(
                "proxy",
                quantity,
                unit,
                "reloads",
                MECHANISM,
                TargetFleet.CONFIGURATIONS_PER_DAY,
                Double.NaN);
    }

    /** Reloads each daemon once, one after another; returns the bytes of the files read. */
    private static long reload(DaemonFleet fleet, int number, RunContext context, Histogram inForce)
            throws Exception {
        long bytes = 0;
        for (DaemonFleet.Daemon daemon : fleet.daemons()) {
            long taken = daemon.count(line -> line.contains(TAKEN));
            long startNs = System.nanoTime();
            fleet.write(daemon, 2 + number % 2);
            daemon.sendHangup();
            context.await(
                    daemon.name + " has applied its settings",
                    () -> daemon.count(line -> line.contains(TAKEN)) > taken);
            Latencies.record(inForce, (System.nanoTime() - startNs) / 1000);
            bytes += Files.size(daemon.file);
        }
        RunContext.pause(RELOAD_INTERVAL_S);
        return bytes;
    }
}
