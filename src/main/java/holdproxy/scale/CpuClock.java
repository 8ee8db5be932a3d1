package holdproxy.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** CPU time of the calling thread, unaffected by other load on the machine. */
final class CpuClock {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private CpuClock() {}

    static long ns() {
        return THREADS.getCurrentThreadCpuTime();
    }
}
