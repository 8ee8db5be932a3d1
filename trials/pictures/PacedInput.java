import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** What a slow cache node receives on a connection, taken at a steady rate. */
final class PacedInput extends FilterInputStream {
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** Reads up to this size, such as command lines, take no time. */
    private static final int MAX_FREE_BYTES = 1000;

    private final int bytesPerMs;

    PacedInput(InputStream in, int bytesPerMs) {
        super(in);
        this.bytesPerMs = bytesPerMs;
    }

    @Override
    public int read(byte[] into, int from, int most) throws IOException {
        int count = in.read(into, from, Math.min(most, MAX_READ_BYTES));
        if (count > MAX_FREE_BYTES) {
            Rig.sleep(count / bytesPerMs);
        }
        return count;
    }
}
