package holdproxy.scale;

import java.lang.management.ManagementFactory;

/** Heap use of this process. */
final class Heap {
    private static final int COLLECTIONS = 2;

    private Heap() {}

    /** Bytes in use after garbage collections. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
