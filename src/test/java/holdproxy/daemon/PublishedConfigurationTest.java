package holdproxy.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.fanout.Position;
import holdproxy.fanout.Value;
import holdproxy.input.BadInput;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Published settings over those of a file: a state is applied as a whole or not at all. */
class PublishedConfigurationTest {
    private static final String FILE =
            """
            name = "proxy-1"
            listen = "127.0.0.1:0"
            discovery = "127.0.0.1:1"
            folder = "kept"
            [settings]
            index = 0
            balancers = 1
            registryMode = "subscribe"
            [settings.caps]
            maxAttempts = 3
            retryAfter = false
            [[settings.grades]]
            name = "lookup"
            effect = "pure"
            targetMs = 100.0
            deadlineMs = 400.0
            """;

    @TempDir Path folder;
    private DaemonFile file;
    private final List<Map<String, byte[]>> applied = new ArrayList<>();
    private final PublishedConfiguration configuration =
            new PublishedConfiguration("proxy-1", this::apply);

    @BeforeEach
    void read() throws Exception {
        file = DaemonFile.read(Files.writeString(folder.resolve("d.toml"), FILE), 1);
    }

    /** Checks and takes settings as a daemon's proxy does. */
    private Optional<String> apply(Map<String, byte[]> published) {
        try {
            file.withPublished(published);
            applied.add(published);
            return Optional.empty();
        } catch (BadInput e) {
            return Optional.of(e.getMessage());
        }
    }

    private Optional<String> offer(long number, String... keysAndValues) {
        SortedMap<String, Value> state = new TreeMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            state.put(keysAndValues[i], Value.of(keysAndValues[i + 1]));
        }
        return configuration.offer(0, new Position(1, number), state, List.of());
    }

    private void assertRejected(String why, long number, String... keysAndValues) {
        Position before = configuration.inForce();
        int takenBefore = applied.size();
        Optional<String> reason = offer(number, keysAndValues);
        assertTrue(reason.isPresent() && reason.get().contains(why), why + ": " + reason);
        assertEquals(before, configuration.inForce());
        assertEquals(takenBefore, applied.size());
        assertEquals(1, configuration.report().rejecting());
        assertEquals(reason.get(), configuration.report().rejections().get(0).reason());
        assertEquals(1, configuration.report().countInForceAtOrAfter(before));
    }

    @Test
    void oneInvalidSectionRejectsTheWholeState() {
        assertEquals(Optional.empty(), offer(1, "settings/caps", "{\"maxAttempts\":2}"));
        assertRejected(
                "settings/caps: ",
                2,
                "settings/caps",
                "{\"maxAttempts\":0}",
                "settings/tickMs",
                "4");
        assertRejected("mostAttempts is unknown", 3, "settings/caps", "{\"mostAttempts\":2}");
        assertRejected("settings/caps is no JSON value", 4, "settings/caps", "{");
        assertRejected("settings/caps is no JSON value", 5, "settings/caps", "null");
        assertRejected("caps is not an object", 6, "settings/caps", "[1]");
        assertRejected("registryMode", 7, "settings/registryMode", "\"push\"");
        assertRejected("cannot be applied", 8, "settings/caps", "{\"maxAttempts\":null}");
        assertEquals(
                Optional.empty(),
                offer(9, "settings/caps", "{\"maxAttempts\":2}", "settings/tickMs", "4"));
        assertEquals(0, configuration.report().rejecting());
        assertEquals(new Position(1, 9), configuration.inForce());
        assertEquals(2, applied.size());
    }

    @Test
    void stateWithoutSettingsChangesIsInForceWithoutReapplying() {
        offer(1, "settings/caps", "{\"maxAttempts\":2}");
        assertEquals(
                Optional.empty(),
                offer(2, "settings/caps", "{\"maxAttempts\":2}", "nodes/a", "of another user"));
        assertEquals(1, applied.size());
        assertEquals(new Position(1, 2), configuration.inForce());
        assertEquals(Optional.empty(), offer(3), "back to the file's own settings");
        assertEquals(Map.of(), applied.get(1));
    }

    @Test
    void tablesAreMergedAndListsReplaced() {
        Map<String, Object> own =
                Map.of(
                        "caps",
                        Map.of("maxAttempts", 3, "retryAfter", false),
                        "grades",
                        List.of(1, 2));
        Map<String, byte[]> published =
                Map.of(
                        "settings/caps", "{\"maxAttempts\":2}".getBytes(StandardCharsets.UTF_8),
                        "settings/grades", "[3]".getBytes(StandardCharsets.UTF_8),
                        "nodes/a", "not ours".getBytes(StandardCharsets.UTF_8));
        assertEquals(
                Map.of("caps", Map.of("maxAttempts", 2, "retryAfter", false), "grades", List.of(3)),
                PublishedSettings.overlay(own, published));
    }

    private Map<String, byte[]> change(String text) throws Exception {
        return PublishedSettings.read(Files.writeString(folder.resolve("change.toml"), text));
    }

    private void assertBadChange(String why, String text) {
        String said = assertThrows(BadInput.class, () -> change(text)).getMessage();
        assertTrue(said.contains("change.toml") && said.contains(why), said);
    }

    @Test
    void changeFileErrorsNameTheLine() throws Exception {
        Map<String, byte[]> change =
                change(
                        "remove = [\"rules\"]\n"
                                + "[settings]\n"
                                + "tickMs = 4\n"
                                + "[settings.caps]\n"
                                + "maxAttempts = 2\n");
        assertEquals(3, change.size());
        assertEquals(null, change.get("settings/rules"));
        assertEquals(
                "{\"maxAttempts\":2}",
                new String(change.get("settings/caps"), StandardCharsets.UTF_8));
        assertBadChange("nothing to publish", "");
        assertBadChange(" line 1: setting is unknown", "setting = 3\n[settings]\ntickMs = 4\n");
        assertBadChange(" line 1: settings is no table", "settings = 3\n");
        assertBadChange(
                "cannot be both set and removed", "remove = [\"caps\"]\n[settings]\ncaps = 1\n");
        assertBadChange("more than 65536 bytes", "#" + "x".repeat(1 << 16));
    }
}
