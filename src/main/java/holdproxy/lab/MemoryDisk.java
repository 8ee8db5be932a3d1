package holdproxy.lab;

import holdproxy.consensus.Disk;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

/**
 * A disk of a trial: what was made safe outlives its process, of what was not a part may. It fails as it is
 * told to.
 */
final class MemoryDisk implements Disk {
    private final Random random;
    private final boolean forgets;
    private byte[] safe = new byte[0];
    private ByteArrayOutputStream unsafe = new ByteArrayOutputStream();

    /** So much of it was safe before the crash. */
    private int forced;

    private boolean full;
    private boolean unforced;

    /** {@code forgets}: it says that things are safe which are not, for a judge to find. */
    MemoryDisk(Random random, boolean forgets) {
        this.random = random;
        this.forgets = forgets;
    }

    /** From now on nothing more goes on it, or again. */
    void full(boolean now) {
        full = now;
    }

    /** From now on nothing is made safe, or again. */
    void unforced(boolean now) {
        unforced = now;
    }

    /** The process is over: of what was not made safe the beginning is there, as far as chance has it. */
    void crash() {
        byte[] rest = unsafe.toByteArray();
        forced = safe.length;
        if (!forgets) {
            safe = joined(safe, Arrays.copyOf(rest, random.nextInt(rest.length + 1)));
        }
        unsafe = new ByteArrayOutputStream();
    }

    /** After a crash one bit of what had been made safe is another. */
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
