package holdproxy.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The daemon's configuration file and its errors, its log, and that serve loads none of its classes. */
class DaemonTest {
    private static final long TIMEOUT_S = 120;
    private static final String SETTINGS =
            """
            [settings]
            index = 0
            balancers = 1
            registryMode = "subscribe"
            localities = ["north"]
            kinds = ["std-1c"]
            [settings.caps]
            maxAttempts = 3
            [[settings.grades]]
            name = "lookup"
            effect = "pure"
            targetMs = 100.0
            deadlineMs = 400.0
            """;

    @TempDir Path folder;

    private String validFile() {
        return "name = \"proxy-1\"\n"
                + "listen = \"127.0.0.1:0\"\n"
                + "discovery = \"127.0.0.1:1\"\n"
                + "folder = \""
                + folder.resolve("kept")
                + "\"\n"
                + SETTINGS;
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("d.toml"), text);
    }

    private void assertBad(String text, String why) throws IOException {
        Path file = file(text);
        String said = assertThrows(BadInput.class, () -> DaemonFile.read(file, 1)).getMessage();
        assertTrue(said.startsWith(file + why), said);
    }

    @Test
    void errorsNameTheLine() throws Exception {
        String good = validFile();
        assertEquals("proxy-1", DaemonFile.read(file(good), 1).name());
        assertBad(
                good.replace("name = \"proxy-1\"", "name = \"a b\""),
                " line 1: name is not 1 to 64 letters");
        assertBad(
                good.replace("127.0.0.1:0", "localhost:0"),
                " line 2: listen is not an address and port");
        assertBad(
                good.replace("discovery = \"127.0.0.1:1\"\n", ""),
                ": discovery is missing from the file");
        assertBad(
                good.replace("folder =", "sockets = 12\nfolder ="),
                " line 4: sockets in the file is not a number");
        assertBad(good.replace("folder =", "folders ="), ": folder is missing from the file");
        assertBad("socket = 1\n" + good, " line 1: socket is unknown in the file");
        assertBad(
                good.replace("maxAttempts = 3", "maxAttempts = 0"),
                " line 12: setting caps.maxAttempts is not a");
        assertBad(
                good.replace("maxAttempts", "mostAttempts"),
                " line 12: setting caps.mostAttempts is unknown");
        assertBad(
                good.replace("\"pure\"", "\"none\""),
                " line 15: setting grades.0.effect is not one of pure");
        assertBad(good.replace("index = 0", "index = "), " line 6: ");
        assertTrue(
                assertThrows(BadInput.class, () -> DaemonFile.read(folder.resolve("none"), 1))
                        .getMessage()
                        .contains("cannot be read"));
    }

    @Test
    void errorsInTheDistributionSectionNameTheLine() throws Exception {
        String proxy =
                validFile()
                        + "[distribution]\nrole = \"proxy\"\nsite = \"north\"\n"
                        + "upstream = [\"127.0.0.1:7100\"]\n";
        assertEquals(
                DistributionSettings.Role.PROXY,
                DaemonFile.read(file(proxy), 1).distribution().role());
        assertBad(
                proxy.replace("\"proxy\"\nsite", "\"prox\"\nsite"),
                " line 19: role in [distribution]");
        assertBad(proxy.replace("site = \"north\"\n", ""), " line 18: site is missing");
        assertBad(
                proxy.replace("7100", "71000"),
                " line 21: an address in upstream is not an address");
        assertBad(proxy.replace("\"127.0.0.1:7100\"", ""), " line 21: a proxy needs at least one");
        assertBad(proxy + "listen = \"127.0.0.1:0\"\n", " line 22: listen has no use in a process");
        assertBad(proxy + "relay = 1\n", " line 22: relay is unknown in [distribution]");
        String control =
                proxy.replace("role = \"proxy\"", "role = \"control\"")
                        + "listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n";
        assertBad(
                control, " line 19: a control machine is one of the voters, which proxy-1 is not");
        DaemonFile inUse = DaemonFile.read(file(proxy), 1);
        Path moved = file(proxy.replace("7100", "7101"));
        assertTrue(
                assertThrows(BadInput.class, () -> DaemonFile.reread(moved, inUse))
                        .getMessage()
                        .contains("distribution cannot change while the process runs"));
    }

    @Test
    void formerTableNamesAreAccepted() throws Exception {
        String cooperation =
                """
                [membership]
                listen = "127.0.0.1:7001"
                seeds = ["127.0.0.1:7002"]
                [consensus]
                voters = ["proxy-1", "b", "c"]
                [[drill]]
                role = "d"
                resource = "127.0.0.1:7003"
                """;
        String former =
                cooperation
                        .replace("[membership]", "[peers]")
                        .replace("[consensus]", "[council]")
                        .replace("role =", "duty =");
        DaemonFile current = DaemonFile.read(file(validFile() + cooperation), 1);
        DaemonFile read = DaemonFile.read(file(validFile() + former), 1);
        assertEquals(current.membership(), read.membership());
        assertEquals(List.of("proxy-1", "b", "c"), read.voters());
        assertEquals(current.drills(), read.drills());
        int line = (int) (validFile() + former).lines().count() + 1;
        assertBad(
                validFile() + former + "[membership]\n",
                " line " + (line - 8) + ": peers is the former name of membership");
    }

    @Test
    void reloadRejectsChangesThatNeedARestart() throws Exception {
        DaemonFile inUse = DaemonFile.read(file(validFile()), 1);
        Path other = file(validFile().replace("proxy-1", "proxy-2"));
        assertTrue(
                assertThrows(BadInput.class, () -> DaemonFile.reread(other, inUse))
                        .getMessage()
                        .contains("name cannot change while the process runs: it was proxy-1"));
        Path fewer = file(validFile().replace("registryMode = \"subscribe\"\n", ""));
        assertTrue(
                assertThrows(BadInput.class, () -> DaemonFile.reread(fewer, inUse))
                        .getMessage()
                        .contains("registryMode is missing"));
    }

    /** Starts this program as a process; its output goes to {@code out.txt}. */
    private Process start(List<String> flags, Map<String, String> env, String... words)
            throws IOException {
        return start(List.of(), flags, env, words);
    }

    /** {@code parent}: the command that runs the program, empty for none. */
    private Process start(
            List<String> parent, List<String> flags, Map<String, String> env, String... words)
            throws IOException {
        List<String> command = new ArrayList<>(parent);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx80m"));
        command.addAll(flags);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        "holdproxy.Main"));
        command.addAll(List.of(words));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("out.txt").toFile());
        builder.environment().putAll(env);
        return builder.start();
    }

    private String out() throws IOException {
        return Files.readString(folder.resolve("out.txt"));
    }

    private void await(Process process, String text) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!out().contains(text)) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < endNs,
                    text + " is missing from the output");
            Thread.onSpinWait();
        }
    }

    @Test
    void invalidFileGivesExitCode2AndTheLine() throws Exception {
        Path bad = file(validFile().replace("maxAttempts = 3", "maxAttempts = 0"));
        for (String[] words :
                List.of(
                        new String[] {"daemon", "check", bad.toString()},
                        new String[] {"daemon", "--config", bad.toString()})) {
            assertEquals(2, start(List.of(), Map.of(), words).waitFor());
            assertTrue(
                    out().startsWith("holdproxy: " + bad + " line 12: setting caps.maxAttempts"),
                    out());
        }
        assertEquals(2, start(List.of(), Map.of(), "daemon").waitFor());
        assertTrue(out().contains("--config FILE.toml is missing"), out());
        assertEquals(
                0,
                start(List.of(), Map.of(), "daemon", "check", file(validFile()).toString())
                        .waitFor());
        assertTrue(out().contains("proxy-1 can start with it"), out());
    }

    @Test
    void logsInJsonReloadsOnSighupAndStopsOnSigterm() throws Exception {
        Path file = file(validFile());
        Process daemon = start(List.of(), Map.of(), "daemon", "--config", file.toString());
        try {
            await(daemon, "\"message\":\"started\"");
            file(validFile().replace("maxAttempts = 3", "maxAttempts = 2"));
            hangUp(daemon);
            await(daemon, "settings taken: 1 classes");
            file(validFile().replace("maxAttempts = 3", "maxAttempts = 0"));
            hangUp(daemon);
            await(daemon, " line 12: setting caps.maxAttempts is not a number");
            daemon.destroy();
            assertEquals(0, daemon.waitFor());
        } finally {
            daemon.destroyForcibly();
        }
        assertTrue(out().contains("\"message\":\"ended\""), out());
        assertTrue(out().lines().allMatch(l -> l.startsWith("{") && l.endsWith("}")), out());
        assertTrue(out().lines().anyMatch(l -> l.contains("mono_us")), out());
    }

    @Test
    void reloadsWhenTheFileChangesIfSighupIsIgnored() throws Exception {
        Path file = file(validFile());
        Process daemon =
                start(
                        List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"),
                        List.of(),
                        Map.of(),
                        "daemon",
                        "--config",
                        file.toString());
        try {
            await(daemon, "SIGHUP has no effect");
            await(daemon, "\"message\":\"started\"");
            file(validFile().replace("maxAttempts = 3", "maxAttempts = 2"));
            await(daemon, "dropped, attempts 2");
        } finally {
            daemon.destroyForcibly();
        }
    }

    private static void hangUp(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** Checks the JVM's log of loaded classes. */
    @Test
    void serveLoadsNoClassesOfTheDaemon() throws Exception {
        Path config =
                Files.writeString(
                        folder.resolve("c.json"),
                        "{\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                            + "\"known\":{\"version\":0,\"full\":true,\"servers\":[]},\"settings\":{\"balancers\":1,"
                            + "\"caps\":{\"maxAttempts\":3},\"grades\":[{\"name\":\"lookup\",\"effect\":\"pure\",\"targetMs\":100.0,"
                            + "\"deadlineMs\":400.0}]}}");
        Path classes = folder.resolve("classes.txt");
        Process serve =
                start(
                        List.of("-Xlog:class+load:file=" + classes),
                        Map.of(
                                "LB_NAME",
                                "n0",
                                "LB_LISTEN",
                                "127.0.0.1:0",
                                "LB_DISCOVERY",
                                "127.0.0.1:1",
                                "LB_CONFIG",
                                config.toString()),
                        "serve");
        try {
            await(serve, "listening on");
            serve.destroy();
            serve.waitFor();
        } finally {
            serve.destroyForcibly();
        }
        String loaded = Files.readString(classes);
        assertTrue(
                loaded.contains("holdproxy.net.Proxy "), "the log lists classes that serve loads");
        Consumer<String> assertNotLoaded =
                name ->
                        assertEquals(
                                List.of(),
                                loaded.lines()
                                        .filter(
                                                Pattern.compile(" " + Pattern.quote(name))
                                                        .asPredicate())
                                        .toList());
        List.of(
                        "holdproxy.daemon.",
                        "holdproxy.fanout.",
                        "holdproxy.command.",
                        "holdproxy.toml.",
                        "holdproxy.simulation.",
                        "holdproxy.harness.",
                        "holdproxy.emulator.",
                        "holdproxy.membership.",
                        "holdproxy.consensus.",
                        "holdproxy.lease.",
                        "io.microraft.",
                        "org.slf4j.",
                        "ch.qos.",
                        "picocli.",
                        "org.tomlj.")
                .forEach(assertNotLoaded);
    }
}
