package holdproxy.rig;

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
 * One proxy of a rig through all its lives, each a real process of the built program. What it prints goes to
 * a file and to the rig; what is done to it is done by signals. Called on the rig's event loop, it calls back
 * there.
 */
public final class ServeProcess {
    public final String name;
    private final List<String> command;
    private final Map<String, String> env;
    private final Path log;
    private final Keeper keeper;
    private final Executor loop;
    private Process process;
    private int life;

    /** {@code log}: a file that all its lives write to, one after another. */
    public ServeProcess(
            String name,
            List<String> command,
            Map<String, String> env,
            Path log,
            Keeper keeper,
            Executor loop) {
        this.name = name;
        this.command = command;
        this.env = env;
        this.log = log;
        this.keeper = keeper;
        this.loop = loop;
    }

    /** Starts a life; {@code said} gets each line, {@code ended} the exit code unless another has begun. */
    public void start(Consumer<String> said, IntConsumer ended) {
        int mine = ++life;
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().keySet().removeIf(key -> key.startsWith("LB_"));
            builder.environment().putAll(env);
            process = builder.start();
            process.getOutputStream().close();
            keeper.keeps(process.toHandle());
        } catch (IOException e) {
            throw new UncheckedIOException("the process " + name + " cannot be started", e);
        }
        Process started = process;
        CompletableFuture<Void> allRead = new CompletableFuture<>();
        Thread reading =
                new Thread(
                        () -> {
                            read(started, line -> loop.execute(() -> said.accept(line)));
                            allRead.complete(null);
                        },
                        "output of " + name);
        reading.setDaemon(true);
        reading.start();
        // its last words come before its end
        started.onExit()
                .thenCombine(allRead, (p, read) -> p)
                .thenAccept(
                        p ->
                                loop.execute(
                                        () -> {
                                            if (life == mine) {
                                                process = null;
                                                ended.accept(p.exitValue());
                                            }
                                        }));
    }

    private void read(Process from, Consumer<String> said) {
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
                said.accept(line);
            }
        } catch (IOException e) {
            said.accept("its output cannot be read or kept: " + e);
        }
    }

    /** Whether a process has been started that has not ended. */
    public boolean runs() {
        return process != null;
    }

    /** SIGKILL, whatever state it is in. */
    public void kill() {
        if (runs()) {
            process.destroyForcibly();
        }
    }

    /** SIGHUP. */
    public void hangUp() {
        signal("HUP");
    }

    /** SIGTERM. */
    public void end() {
        if (runs()) {
            // by its handle: the process itself would also close the pipe that its last words come
            // by
            process.toHandle().destroy();
        }
    }

    /** SIGSTOP: it stands still until {@link #resume}. */
    public void hold() {
        signal("STOP");
    }

    /** SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    /** Java has no way to send these. */
    private void signal(String signal) {
        if (runs()) {
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
