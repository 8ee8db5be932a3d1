package holdproxy.scale;

import holdproxy.rig.Keeper;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Environment of a measurement.
 *
 * @param folder for logs and configurations
 * @param keeper ends the processes that were started if this process ends without doing so
 * @param progress takes progress lines
 */
record RunContext(Path folder, Keeper keeper, Consumer<String> progress) {
    private static final long LOOK_MS = 50;
    private static final double LONGEST_WAIT_S = 180;

    void say(String text, Object... values) {
        progress.accept(String.format(Locale.ROOT, text, values));
    }

    /** Waits for a condition; returns the seconds waited. {@code what} describes it in the error. */
    double await(String what, BooleanSupplier so) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!so.getAsBoolean()) {
            if (secondsSince(startNs) > LONGEST_WAIT_S) {
                throw new IllegalStateException(
                        "timed out after "
                                + LONGEST_WAIT_S
                                + " s waiting until "
                                + what
                                + "; logs are in "
                                + folder);
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
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
