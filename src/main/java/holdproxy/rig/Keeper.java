package holdproxy.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Ends what a rig has started, however the rig itself ends: a process of its own that is told of each one on
 * its standard input, and kills those that still run when that input ends. A pid that another process has by
 * then is told apart by when it was started.
 */
public final class Keeper implements AutoCloseable {
    private final Process process;
    private final OutputStream told;

    private Keeper(Process process) {
        this.process = process;
        told = process.getOutputStream();
    }

    /** Starts one with this command line, which has to come to {@link #keep}. */
    public static Keeper start(List<String> command) throws IOException {
        return new Keeper(
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start());
    }

    /** From now on this process ends with the rig. */
    public synchronized void keeps(ProcessHandle child) throws IOException {
        told.write((child.pid() + " " + startedMs(child) + "\n").getBytes(StandardCharsets.UTF_8));
        told.flush();
    }

    private static long startedMs(ProcessHandle process) {
        return process.info().startInstant().map(Instant::toEpochMilli).orElse(-1L);
    }

    /** The rig has ended what it started: so does this. */
    @Override
    public void close() {
        try {
            told.close();
            process.waitFor();
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The keeper's own life; returns at the end of its input. */
    public static void keep(InputStream in) throws IOException {
        Map<Long, Long> startedMs = new LinkedHashMap<>();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        try {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                String[] words = line.split(" ");
                startedMs.put(Long.parseLong(words[0]), Long.parseLong(words[1]));
            }
        } finally {
            startedMs.forEach(
                    (pid, started) -> {
                        Optional<ProcessHandle> child = ProcessHandle.of(pid);
                        if (child.isPresent()
                                && (started < 0 || startedMs(child.get()) == started)) {
                            child.get().destroyForcibly();
                        }
                    });
        }
    }
}
