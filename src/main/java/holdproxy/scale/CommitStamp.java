package holdproxy.scale;

import holdproxy.fanout.Value;
import java.time.Instant;

/**
 * What a change of a run says: its number and when it was committed, filled up to the size of a change.
 *
 * @param number of the change
 * @param committedUnixUs by the wall clock, which all processes of a run share
 */
record CommitStamp(long number, long committedUnixUs) {
    /** Bytes of a change of the configuration, as the target fleet's are. */
    static final int CHANGE_BYTES = 200;

    private static final String PREFIX = "change-";
    private static final long US = 1_000_000;

    static long unixUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * US + now.getNano() / 1000;
    }

    /** Whether the value of this key is one; others are settings, for real daemons to take. */
    static boolean isOne(String key) {
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
