package holdproxy.scale;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Resources and limits of this machine, read from {@code /proc}. */
final class Machine {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Path MEMORY = Path.of("/proc/meminfo");
    private static final Path LOAD = Path.of("/proc/loadavg");
    private static final double KB_PER_GB = 1 << 20;

    private Machine() {}

    /** Soft limit of open files and sockets per process. */
    static long openFiles() {
        for (String line : lines(LIMITS)) {
            if (line.startsWith("Max open files")) {
                String soft = line.substring("Max open files".length()).strip().split("\\s+")[0];
                return soft.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(soft);
            }
        }
        throw new BadInput(LIMITS + " has no line with the open-files limit");
    }

    /** Memory available to new processes, in GB. */
    static double availableGb() {
        for (String line : lines(MEMORY)) {
            if (line.startsWith("MemAvailable:")) {
                return Double.parseDouble(line.split("\\s+")[1]) / KB_PER_GB;
            }
        }
        throw new BadInput(MEMORY + " has no line with the available memory");
    }

    /** Text for the result file; the load average includes other work on the machine. */
    static String description() {
        return String.format(
                Locale.ROOT,
                "%d cores, %.0f GB available, load average %s, open files %d",
                Runtime.getRuntime().availableProcessors(),
                availableGb(),
                load(),
                openFiles());
    }

    /** Load average of the last minute. */
    static String load() {
        return lines(LOAD).get(0).split(" ")[0];
    }

    private static List<String> lines(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new BadInput(file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }
}
