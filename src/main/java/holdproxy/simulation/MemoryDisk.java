package holdproxy.simulation;

import holdproxy.consensus.Disk;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

/**
 * A simulated disk: durable data survives the process, and a random part of the rest may. It fails
 * on request.
 */
final class MemoryDisk implements Disk {
    private final Random random;
    private final boolean losesDurableData;
    private byte[] durable = new byte[0];
    private ByteArrayOutputStream unsynced = new ByteArrayOutputStream();

    /** Number of bytes that were durable before the crash. */
    private int durableBeforeCrash;

    private boolean full;
    private boolean syncFails;

    /**
     * {@code losesDurableData}: the disk reports data as durable that is not, a bug for the checker to find.
     */
    MemoryDisk(Random random, boolean losesDurableData) {
        this.random = random;
        this.losesDurableData = losesDurableData;
    }

    /** Sets whether the disk is full, so that writes fail. */
    void full(boolean now) {
        full = now;
    }

    /** Sets whether syncing fails. */
    void failSync(boolean now) {
        syncFails = now;
    }

    /**
     * The process has ended: of the data that was not durable, a prefix of random length survives.
     */
    void crash() {
        byte[] rest = unsynced.toByteArray();
        durableBeforeCrash = durable.length;
        if (!losesDurableData) {
            durable = joined(durable, Arrays.copyOf(rest, random.nextInt(rest.length + 1)));
        }
        unsynced = new ByteArrayOutputStream();
    }

    /** Flips one bit of the data that was durable before the last crash. */
    void flipBit() {
        if (durableBeforeCrash == 0) {
            return;
        }
        durable[random.nextInt(durableBeforeCrash)] ^= (byte) (1 << random.nextInt(8));
    }

    @Override
    public byte[] read() {
        return joined(durable, unsynced.toByteArray());
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        if (full) {
            unsynced.write(
                    bytes, 0, random.nextInt(bytes.length)); // a short write before the error
            throw new IOException("no space left");
        }
        unsynced.write(bytes, 0, bytes.length);
    }

    @Override
    public void force() throws IOException {
        if (syncFails) {
            throw new IOException("input/output error");
        }
        if (!losesDurableData) {
            durable = joined(durable, unsynced.toByteArray());
            unsynced = new ByteArrayOutputStream();
        }
    }

    @Override
    public void replace(byte[] bytes) throws IOException {
        if (full) {
            throw new IOException("no space left");
        }
        durable = bytes.clone();
        unsynced = new ByteArrayOutputStream();
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }
}
