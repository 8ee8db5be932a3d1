package holdproxy.scale;

import holdproxy.rig.Keeper;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What a measurement works with.
 *
 * @param folder for logs and configurations
 * @param keeper of all processes that are started
 * @param progress takes a line on how far it is
 */
record RunContext(Path folder, Keeper keeper, Consumer<String> progress) {
    private static final long LOOK_MS = 50;
    private static final double LONGEST_WAIT_S = 180;

    void say(String text, Object... values) {
        progress.accept(String.format(Locale.ROOT, text, values));
    }

    /** Waits until this is so, and returns for how many seconds; an error says what did not come about. */
    double await(String what, BooleanSupplier so) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!so.getAsBoolean()) {
            if (secondsSince(startNs) > LONGEST_WAIT_S) {
                throw new IllegalStateException(
                        "within "
                                + LONGEST_WAIT_S
                                + " s it did not come about that "
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
