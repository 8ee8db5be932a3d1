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

/** Persists a process's generation, so that it grows even if the wall clock goes back. */
final class GenerationFile {
    private static final String FILE_NAME = "life";

    private GenerationFile() {}

    /** Returns and stores a new generation: {@code wallMs}, but at least one more than the last. */
    static long next(Path folder, long wallMs) {
        Path file = folder.resolve(FILE_NAME);
        long last = 0;
        try {
            if (Files.exists(file)) {
                last = Long.parseLong(Files.readString(file).strip());
            }
        } catch (IOException | NumberFormatException e) {
            throw new BadInput(
                    "cannot read the last generation from "
                            + file
                            + ": "
                            + e
                            + "; if the file is removed, the next start uses the wall clock");
        }
        long next = Math.max(wallMs, last + 1);
        Path newFile = folder.resolve(FILE_NAME + ".new");
        try (FileChannel out =
                FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer text = ByteBuffer.wrap((next + "\n").getBytes(StandardCharsets.UTF_8));
            while (text.hasRemaining()) {
                out.write(text);
            }
            out.force(true);
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new BadInput("cannot write the generation to " + file + ": " + e);
        }
        return next;
    }
}
