package holdproxy.daemon;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A process's generation, kept so that it grows though the wall clock may not. */
final class GenerationFile {
    private static final String NAME = "life";

    private GenerationFile() {}

    /** The generation that begins now: the wall clock's milliseconds, or one more than the last. */
    static long next(Path folder, long wallMs) {
        Path file = folder.resolve(NAME);
        long last = 0;
        try {
            if (Files.exists(file)) {
                last = Long.parseLong(Files.readString(file).strip());
            }
        } catch (IOException | NumberFormatException e) {
            throw new BadInput(
                    "the last generation cannot be read from "
                            + file
                            + ": "
                            + e
                            + "; without the file a start takes the wall clock");
        }
        long next = Math.max(wallMs, last + 1);
        Path fresh = folder.resolve(NAME + ".new");
        try (FileChannel out =
                FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer text = ByteBuffer.wrap((next + "\n").getBytes(StandardCharsets.UTF_8));
            while (text.hasRemaining()) {
                out.write(text);
            }
            out.force(true);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new BadInput("this generation cannot be kept in " + file + ": " + e);
        }
        return next;
    }
}
