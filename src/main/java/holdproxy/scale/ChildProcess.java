package holdproxy.scale;

import holdproxy.rig.Keeper;
import holdproxy.rig.ProgramLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A process of this program that holds a part of a run: asked on its standard input, line by line, it answers
 * each line with one JSON object. It ends when that input does.
 */
final class ChildProcess implements AutoCloseable {
    private static final long ANSWER_S = 180;
    private static final long END_S = 20;

    private final String name;
    private final Path log;
    private final Process process;
    private final OutputStream asking;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    private ChildProcess(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
        asking = process.getOutputStream();
        Thread reading = new Thread(this::read, "answers of " + name);
        reading.setDaemon(true);
        reading.start();
    }

    /** Starts {@code scale child KIND OPTIONS}; its standard error goes to a file in the folder. */
    static ChildProcess start(
            String name, Path folder, String heap, Keeper keeper, String... words) {
        List<String> all = new ArrayList<>(List.of("scale", "child"));
        all.addAll(List.of(words));
        Path log = folder.resolve(name + ".log");
        try {
            Process process =
                    new ProcessBuilder(
                                    ProgramLine.of(
                                            heap, Port.options(), all.toArray(String[]::new)))
                            .redirectError(log.toFile())
                            .start();
            keeper.keeps(process.toHandle());
            return new ChildProcess(name, log, process);
        } catch (IOException e) {
            throw new UncheckedIOException("the process " + name + " cannot be started", e);
        }
    }

    private void read() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                answers.add(line);
            }
        } catch (IOException e) {
            answers.add("its output cannot be read: " + e.getMessage());
        }
    }

    /** Asks, and waits for the answer. */
    JsonPart ask(String command) {
        tell(command);
        return answer(command);
    }

    /** Asks without waiting; {@link #answer} has to follow. */
    void tell(String command) {
        try {
            asking.write((command + "\n").getBytes(StandardCharsets.UTF_8));
            asking.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " has ended; its log is " + log, e);
        }
    }

    JsonPart answer(String command) {
        try {
            String line = answers.poll(ANSWER_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new IllegalStateException(
                        name
                                + " has not answered "
                                + command
                                + " within "
                                + ANSWER_S
                                + " s; its log is "
                                + log);
            }
            return JsonPart.parse(name + "'s answer to " + command, line);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    ProcessUsage usage() {
        return ProcessUsage.of(process.pid());
    }

    long pid() {
        return process.pid();
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        try {
            asking.close();
            if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
