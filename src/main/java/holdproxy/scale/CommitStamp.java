package holdproxy.scale;

import holdproxy.fanout.Value;
import java.time.Instant;

/**
 * Number and commit time of a change, encoded in the changed value. The value is padded to the size of a
 * usual change. Receivers compute the delivery latency from it.
 *
 * @param number of the change
 * @param committedUnixUs wall-clock time, which all processes of a run share
 */
record CommitStamp(long number, long committedUnixUs) {
    /** Size of a configuration change in the target fleet. */
    static final int CHANGE_BYTES = 200;

    private static final String PREFIX = "change-";
    private static final long US_PER_S = 1_000_000;

    static long unixUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * US_PER_S + now.getNano() / 1000;
    }

    /** Whether the value of this key is a stamp; other keys are settings that real daemons apply. */
    static boolean isStampKey(String key) {
        return key.startsWith(PREFIX);
    }

    String key(int keys) {
        return PREFIX + number % keys;
    }

    Value value() {
        String text = number + " " + committedUnixUs + " ";
        return Value.of(text + "x".repeat(CHANGE_BYTES - text.length()));
    }

    static CommitStamp of(Value value) {
        String[] words = value.text().split(" ");
        return new CommitStamp(Long.parseLong(words[0]), Long.parseLong(words[1]));
    }
}
