package holdproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;

/** Waits for progress by its condition; the end is only for what never comes. */
public final class Awaiting {
    private Awaiting() {}

    /** What is waited for. */
    public interface Condition {
        /** Whether it has come about. */
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; fails after so many seconds. */
    public static void await(long endS, Condition condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(endS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNs, "it never came to be");
            Thread.onSpinWait();
        }
    }
}
