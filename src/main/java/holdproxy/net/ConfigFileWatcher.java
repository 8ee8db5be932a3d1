package holdproxy.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Notices that the configuration file has changed, for processes that no SIGHUP reaches. It
 * compares whole contents, so that neither a clock nor the file system's times matter, and waits
 * for a content to be the same at two looks: a file that is being written is left alone until it
 * stays as it is.
 *
 * <p>The first content counts as a change too: the file may have been replaced while the process started.
 */
final class ConfigFileWatcher {
    /** How often it is looked at; a change is in force after two looks at most. */
    static final int INTERVAL_MS = 500;

    private final Path file;
    private final Runnable onChange;

    /** What the last look has read; null: nothing, or the file could not be read. */
    private byte[] seen;

    /** What was there when {@link #onChange} ran last. */
    private byte[] reported;

    /**
     * {@code onChange}: runs in {@link #look} for each content that has settled, also one that is
     * no good.
     */
    ConfigFileWatcher(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
    }

    /** Looks from here on, on a thread of its own that ends with the process. */
    void start() {
        Thread looking = new Thread(this::lookOn, "config-file");
        looking.setDaemon(true);
        looking.start();
    }

    private void lookOn() {
        try {
            while (true) {
                look();
                Thread.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One look at the file. */
    void look() {
        byte[] content = content();
        boolean settled = Arrays.equals(content, seen);
        seen = content;
        if (settled && !Arrays.equals(content, reported)) {
            reported = content;
            onChange.run();
        }
    }

    private byte[] content() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return null; // being replaced, or gone: once that has settled, who reads it says so
        }
    }
}
