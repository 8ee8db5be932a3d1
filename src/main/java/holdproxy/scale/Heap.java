package holdproxy.scale;

import java.lang.management.ManagementFactory;

/** What this process holds on its heap. */
final class Heap {
    private static final int COLLECTIONS = 2;

    private Heap() {}

    /** After collections. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
