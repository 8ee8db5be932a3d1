package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class WarmUpTest {

    @Test
    void everyRequestIsServedFromEndToEnd(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        Config config = Config.load(Fixture.env(file, "127.0.0.1:1"));
        for (int rounds : new int[] {WarmUp.ROUNDS, WarmUp.UPGRADE_ROUNDS}) {
            assertEquals(rounds, WarmUp.run(config, rounds));
        }
    }
}
