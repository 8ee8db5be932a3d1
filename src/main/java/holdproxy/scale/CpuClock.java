package holdproxy.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the calling thread, whatever else the machine does. */
final class CpuClock {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private CpuClock() {}

    static long ns() {
        return THREADS.getCurrentThreadCpuTime();
    }
}
