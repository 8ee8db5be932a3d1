package holdproxy.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A {@link Disk} in a file of the file system. */
public final class FileDisk implements Disk, AutoCloseable {
    private final Path file;
    private FileChannel channel;

    /** The file must belong to this voter alone, and its folder must exist. */
    public FileDisk(Path file) {
        this.file = file;
    }

    @Override
    public byte[] read() throws IOException {
        return Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        if (channel == null) {
            channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        write(channel, bytes);
    }

    @Override
    public void force() throws IOException {
        if (channel != null) {
            channel.force(true);
        }
    }

    @Override
    public void replace(byte[] bytes) throws IOException {
        Path replacement = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out =
                FileChannel.open(
                        replacement,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            write(out, bytes);
            out.force(true);
        }
        close();
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
            folder.force(true); // makes the rename durable
        }
    }

    private static void write(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            to.write(remaining);
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }
}
