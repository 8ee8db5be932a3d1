package holdproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;

/** Waits for a condition; the time limit only ends waits for what never happens. */
public final class Awaiting {
    private Awaiting() {}

    /** The awaited condition. */
    public interface Condition {
        /** Whether the condition holds now. */
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; fails after {@code timeoutS} seconds. */
    public static void await(long timeoutS, Condition condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNs, "the condition did not hold in time");
            Thread.onSpinWait();
        }
    }
}
