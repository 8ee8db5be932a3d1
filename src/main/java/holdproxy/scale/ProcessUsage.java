package holdproxy.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What processes have used so far.
 *
 * @param atNs when that was read
 * @param cpuS processor time, user's and system's, in seconds
 * @param residentMb resident memory
 */
record ProcessUsage(long atNs, double cpuS, double residentMb) {
    /** The kernel counts in these, whatever its own ticks are. */
    private static final double TICKS_PER_S = 100;

    private static final int USER_FIELD = 11;
    private static final int SYSTEM_FIELD = 12;
    private static final double KB_PER_MB = 1024;

    static ProcessUsage of(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            // the name, in brackets, may hold anything
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpuS =
                    (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]))
                            / TICKS_PER_S;
            double residentMb =
                    Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .findFirst()
                            .map(line -> Double.parseDouble(line.split("\\s+")[1]) / KB_PER_MB)
                            .orElse(0.0);
            return new ProcessUsage(System.nanoTime(), cpuS, residentMb);
        } catch (IOException e) {
            throw new UncheckedIOException("the usage of process " + pid + " cannot be read", e);
        }
    }

    ProcessUsage plus(ProcessUsage other) {
        return new ProcessUsage(
                Math.max(atNs, other.atNs), cpuS + other.cpuS, residentMb + other.residentMb);
    }

    /** Processor time since another reading, in percent of a core. */
    double cpuPercentSince(ProcessUsage before) {
        return 100 * (cpuS - before.cpuS) / ((atNs - before.atNs) / 1e9);
    }
}
