package holdproxy.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Polls the configuration file for changes, for processes in which SIGHUP is ignored. It compares whole
 * contents and so depends on no clock and no file times. A content is reported only once two polls in a row
 * have read it, so that a file that is still being written is not.
 *
 * <p>The first content is reported too: the file may have been replaced while the process started.
 */
final class ConfigFileWatcher {
    /** Polling interval; a change is reported at the second poll that sees it. */
    static final int INTERVAL_MS = 500;

    private final Path file;
    private final Runnable onChange;

    /** The content at the last poll; null before the first one, or if the file could not be read. */
    private byte[] lastContent;

    /** The content at the last run of {@link #onChange}. */
    private byte[] reportedContent;

    /** {@code onChange} runs in {@link #poll} for each content that has settled, valid or not. */
    ConfigFileWatcher(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
    }

    /** Starts polling on a daemon thread. */
    void start() {
        Thread poller = new Thread(this::pollForever, "config-file");
        poller.setDaemon(true);
        poller.start();
    }

    private void pollForever() {
        try {
            while (true) {
                poll();
                Thread.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Polls the file once. */
    void poll() {
        byte[] content = content();
        boolean settled = Arrays.equals(content, lastContent);
        lastContent = content;
        if (settled && !Arrays.equals(content, reportedContent)) {
            reportedContent = content;
            onChange.run();
        }
    }

    private byte[] content() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return null; // being replaced, or missing: once settled, the reload reports it
        }
    }
}
