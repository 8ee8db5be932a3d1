package holdproxy.scale;

import holdproxy.harness.ChildReaper;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Environment of a measurement.
 *
 * @param folder for logs and configurations
 * @param reaper ends the processes that were started if this process ends without doing so
 * @param progress takes progress lines
 */
record RunContext(Path folder, ChildReaper reaper, Consumer<String> progress) {
    private static final long POLL_MS = 50;
    private static final double MAX_WAIT_S = 180;

    void logProgress(String text, Object... values) {
        progress.accept(String.format(Locale.ROOT, text, values));
    }

    /** Waits for a condition; returns the seconds waited. {@code what} describes it in the error. */
    double await(String what, BooleanSupplier condition) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (secondsSince(startNs) > MAX_WAIT_S) {
                throw new IllegalStateException(
                        "timed out after "
                                + MAX_WAIT_S
                                + " s waiting until "
                                + what
                                + "; logs are in "
                                + folder);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return secondsSince(startNs);
    }

    static double secondsSince(long startNs) {
        return (System.nanoTime() - startNs) / 1e9;
    }

    static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }
}
