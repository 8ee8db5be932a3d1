package holdproxy.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * One proxy of a rig across restarts; each run is a real process of the built program. Its output goes to a
 * file and to a callback. It is controlled by signals. Methods are called, and call back, on the rig's event
 * loop.
 */
public final class ServeProcess {
    public final String name;
    private final List<String> command;
    private final Map<String, String> env;
    private final Path log;
    private final ChildReaper keeper;
    private final Executor loop;
    private Process process;
    private int runNumber;

    /** {@code log}: the output file; each run appends to it. */
    public ServeProcess(
            String name,
            List<String> command,
            Map<String, String> env,
            Path log,
            ChildReaper keeper,
            Executor loop) {
        this.name = name;
        this.command = command;
        this.env = env;
        this.log = log;
        this.keeper = keeper;
        this.loop = loop;
    }

    /** Starts a run; {@code onLine} gets each output line, {@code onExit} the exit code of the latest run. */
    public void start(Consumer<String> onLine, IntConsumer onExit) {
        int thisRun = ++runNumber;
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().keySet().removeIf(key -> key.startsWith("LB_"));
            builder.environment().putAll(env);
            process = builder.start();
            process.getOutputStream().close();
            keeper.register(process.toHandle());
        } catch (IOException e) {
            throw new UncheckedIOException("the process " + name + " cannot be started", e);
        }
        Process started = process;
        CompletableFuture<Void> allRead = new CompletableFuture<>();
        Thread reading =
                new Thread(
                        () -> {
                            readOutput(started, line -> loop.execute(() -> onLine.accept(line)));
                            allRead.complete(null);
                        },
                        "output of " + name);
        reading.setDaemon(true);
        reading.start();
        // the last output is delivered before the exit code
        started.onExit()
                .thenCombine(allRead, (p, read) -> p)
                .thenAccept(
                        p ->
                                loop.execute(
                                        () -> {
                                            if (runNumber == thisRun) {
                                                process = null;
                                                onExit.accept(p.exitValue());
                                            }
                                        }));
    }

    private void readOutput(Process from, Consumer<String> onLine) {
        try (BufferedReader lines =
                        new BufferedReader(
                                new InputStreamReader(
                                        from.getInputStream(), StandardCharsets.UTF_8));
                Writer file =
                        Files.newBufferedWriter(
                                log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                file.write(line + "\n");
                file.flush();
                onLine.accept(line);
            }
        } catch (IOException e) {
            onLine.accept("the process output cannot be read or stored: " + e);
        }
    }

    /** Whether a process has been started and its exit has not been handled yet. */
    public boolean isRunning() {
        return process != null;
    }

    /** SIGKILL; works on a stopped process too. */
    public void kill() {
        if (isRunning()) {
            process.destroyForcibly();
        }
    }

    /** SIGHUP. */
    public void sendHangUp() {
        signal("HUP");
    }

    /** SIGTERM. */
    public void terminate() {
        if (isRunning()) {
            // Process.destroy would also close the pipe with the last output; the handle's does not
            process.toHandle().destroy();
        }
    }

    /** SIGSTOP: stops the process until {@link #resume}. */
    public void suspend() {
        signal("STOP");
    }

    /** SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    /** Runs the program kill, as Java has no API for these signals. */
    private void signal(String signal) {
        if (isRunning()) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (IOException e) {
                throw new UncheckedIOException("the program kill cannot be run", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
