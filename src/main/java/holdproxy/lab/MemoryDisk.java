package holdproxy.lab;

import holdproxy.consensus.Disk;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

/**
 * A simulated disk: durable data survives the process, and a random part of the rest may. It fails
 * when told to.
 */
final class MemoryDisk implements Disk {
    private final Random random;
    private final boolean forgets;
    private byte[] safe = new byte[0];
    private ByteArrayOutputStream unsafe = new ByteArrayOutputStream();

    /** Number of bytes that were durable before the crash. */
    private int forced;

    private boolean full;
    private boolean unforced;

    /**
     * {@code forgets}: the disk reports data as durable that is not, a bug for the checker to find.
     */
    MemoryDisk(Random random, boolean forgets) {
        this.random = random;
        this.forgets = forgets;
    }

    /** Sets whether the disk is full, so that writes fail. */
    void full(boolean now) {
        full = now;
    }

    /** Sets whether syncing fails. */
    void unforced(boolean now) {
        unforced = now;
    }

    /**
     * The process has ended: of the data that was not durable, a prefix of random length survives.
     */
    void crash() {
        byte[] rest = unsafe.toByteArray();
        forced = safe.length;
        if (!forgets) {
            safe = joined(safe, Arrays.copyOf(rest, random.nextInt(rest.length + 1)));
        }
        unsafe = new ByteArrayOutputStream();
    }

    /** Flips one bit of the data that was durable before the last crash. */
    void flip() {
        if (forced == 0) {
            return;
        }
        safe[random.nextInt(forced)] ^= (byte) (1 << random.nextInt(8));
    }

    @Override
    public byte[] read() {
        return joined(safe, unsafe.toByteArray());
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        if (full) {
            unsafe.write(bytes, 0, random.nextInt(bytes.length)); // a short write before the error
            throw new IOException("no space left");
        }
        unsafe.write(bytes, 0, bytes.length);
    }

    @Override
    public void force() throws IOException {
        if (unforced) {
            throw new IOException("input/output error");
        }
        if (!forgets) {
            safe = joined(safe, unsafe.toByteArray());
            unsafe = new ByteArrayOutputStream();
        }
    }

    @Override
    public void replace(byte[] bytes) throws IOException {
        if (full) {
            throw new IOException("no space left");
        }
        safe = bytes.clone();
        unsafe = new ByteArrayOutputStream();
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }
}
