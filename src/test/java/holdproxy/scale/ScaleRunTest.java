package holdproxy.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A small run over real sockets; checks the updates that each proxy received, not how long they took. */
class ScaleRunTest {
    @TempDir Path folder;

    @Test
    void everyProxyFollowsAllChangesWhileARelayIsKilled() throws Exception {
        ScaleFile file = ScaleFile.read(Path.of("scale/small.toml"));
        file.check(Machine.openFiles(), Machine.availableGb());
        Findings findings = ScaleCommand.execute(file, folder, kept -> {});
        assertEquals(
                List.of(),
                findings.verdicts().stream().filter(verdict -> !verdict.kept()).toList());
        assertEquals(4, findings.verdicts().size(), "two rules, without faults and with one");
        Latencies killed = latencies(findings, "hollow proxies, with a relay killed");
        Latencies real = latencies(findings, "real daemons");
        assertTrue(killed.values().getTotalCount() >= 200, "each change at each proxy is timed");
        assertTrue(real.values().getTotalCount() > 0, "so are those of the real ones");
    }

    private static Latencies latencies(Findings findings, String what) {
        return findings.latencies().stream()
                .filter(latencies -> latencies.what().contains(what))
                .findFirst()
                .orElseThrow();
    }
}
