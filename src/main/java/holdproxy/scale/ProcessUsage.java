package holdproxy.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * CPU time and memory of one or more processes.
 *
 * @param atNs when this was read
 * @param cpuS user and system CPU time since the start
 * @param residentMb resident memory
 */
record ProcessUsage(long atNs, double cpuS, double residentMb) {
    /** Unit of the CPU times in {@code /proc} (USER_HZ), independent of the kernel's own tick rate. */
    private static final double TICKS_PER_S = 100;

    private static final int USER_FIELD = 11;
    private static final int SYSTEM_FIELD = 12;
    private static final double KB_PER_MB = 1024;

    static ProcessUsage of(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            // fields are split after the last bracket, since the process name may contain blanks
            // and brackets
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

    /** CPU time since an earlier reading, in percent of a core. */
    double cpuPercentSince(ProcessUsage before) {
        return 100 * (cpuS - before.cpuS) / ((atNs - before.atNs) / 1e9);
    }
}
