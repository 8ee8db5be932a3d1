package holdproxy.scale;

import holdproxy.harness.ChildReaper;
import holdproxy.harness.ProgramCommand;
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
 * A child process that runs a part of a measurement. It takes commands on standard input, one a line, answers
 * each with one JSON object, and exits at the end of its input.
 */
final class ChildProcess implements AutoCloseable {
    private static final long ANSWER_TIMEOUT_S = 180;
    private static final long EXIT_TIMEOUT_S = 20;

    private final String name;
    private final Path log;
    private final Process process;
    private final OutputStream commands;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    private ChildProcess(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
        commands = process.getOutputStream();
        Thread reader = new Thread(this::readAnswers, "answers of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts {@code scale child KIND OPTIONS}; its standard error goes to a log file in {@code folder}. */
    static ChildProcess start(
            String name, Path folder, String heap, ChildReaper reaper, String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of("scale", "child"));
        commandLine.addAll(List.of(arguments));
        Path log = folder.resolve(name + ".log");
        try {
            Process process =
                    new ProcessBuilder(
                                    ProgramCommand.of(
                                            heap,
                                            Port.options(),
                                            commandLine.toArray(String[]::new)))
                            .redirectError(log.toFile())
                            .start();
            reaper.register(process.toHandle());
            return new ChildProcess(name, log, process);
        } catch (IOException e) {
            throw new UncheckedIOException("the process " + name + " cannot be started", e);
        }
    }

    private void readAnswers() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                answers.add(line);
            }
        } catch (IOException e) {
            answers.add("cannot read the output: " + e.getMessage());
        }
    }

    /** Sends a command and waits for its answer. */
    JsonPart ask(String command) {
        send(command);
        return answer(command);
    }

    /** Sends a command without waiting; {@link #answer} must be called next. */
    void send(String command) {
        try {
            commands.write((command + "\n").getBytes(StandardCharsets.UTF_8));
            commands.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " has exited; see " + log, e);
        }
    }

    JsonPart answer(String command) {
        try {
            String line = answers.poll(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new IllegalStateException(
                        name
                                + " did not answer "
                                + command
                                + " within "
                                + ANSWER_TIMEOUT_S
                                + " s; see "
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

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        try {
            commands.close();
            if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
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
