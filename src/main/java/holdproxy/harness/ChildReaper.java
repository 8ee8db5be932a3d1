package holdproxy.harness;

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
 * Kills the child processes of a rig when the rig exits, even if the rig itself was killed. The reaper is a
 * process of its own: it reads the pid and start time of each child from its standard input, and at the end
 * of that input kills the children that still run. The start time guards against a reused pid.
 */
public final class ChildReaper implements AutoCloseable {
    private final Process process;
    private final OutputStream registrations;

    private ChildReaper(Process process) {
        this.process = process;
        registrations = process.getOutputStream();
    }

    /** Starts the reaper process; {@code command} has to run {@link #run}. */
    public static ChildReaper start(List<String> command) throws IOException {
        return new ChildReaper(
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start());
    }

    /** Registers a child process, so that it does not outlive the rig. */
    public synchronized void register(ProcessHandle child) throws IOException {
        registrations.write(
                (child.pid() + " " + startedMs(child) + "\n").getBytes(StandardCharsets.UTF_8));
        registrations.flush();
    }

    private static long startedMs(ProcessHandle process) {
        return process.info().startInstant().map(Instant::toEpochMilli).orElse(-1L);
    }

    /** Ends the reaper process, which kills the children that still run, and waits for its exit. */
    @Override
    public void close() {
        try {
            registrations.close();
            process.waitFor();
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The main loop of the reaper process; returns at the end of its input. */
    public static void run(InputStream in) throws IOException {
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
