package holdproxy.scale;

import holdproxy.input.BadInput;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * Times from a commit until it is in force, in microseconds.
 *
 * @param what was timed, at how many proxies
 * @param values histogram of all times
 */
record Latencies(String what, Histogram values) {
    private static final int DIGITS = 3;

    /** One hour; longer times are recorded as this. */
    private static final long MAX_US = 3_600_000_000L;

    static Latencies of(String what) {
        return new Latencies(what, histogram());
    }

    static Histogram histogram() {
        return new Histogram(1, MAX_US, DIGITS);
    }

    static void record(Histogram into, long us) {
        into.recordValue(Math.max(1, Math.min(MAX_US, us)));
    }

    /** Encodes a histogram as text for {@link #decoded}. */
    static String encoded(Histogram values) {
        ByteBuffer buffer = ByteBuffer.allocate(values.getNeededByteBufferCapacity());
        int length = values.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    static Histogram decoded(String text) {
        try {
            return Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0);
        } catch (DataFormatException | IllegalArgumentException e) {
            throw new BadInput("cannot decode a histogram: " + e.getMessage());
        }
    }

    double ms(double percentile) {
        return values.getValueAtPercentile(percentile) / 1e3;
    }

    double worstMs() {
        return values.getMaxValue() / 1e3;
    }

    Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("what", what);
        json.put("count", values.getTotalCount());
        json.put("p50_ms", ms(50));
        json.put("p99_ms", ms(99));
        json.put("worst_ms", worstMs());
        json.put("histogram", encoded(values));
        return json;
    }

    static Latencies read(JsonPart json) {
        return new Latencies(json.text("what"), decoded(json.text("histogram")));
    }
}
