package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How operators' changes reach the next process, and the other one while two run. */
class LeftOutStoreTest {
    @TempDir Path folder;
    private final MockTicker ticker = Ticker.newMockTicker();
    private final Clock time = new Clock(ticker, () -> 1_000_000);
    private final List<String> changes = new ArrayList<>();

    private LeftOutStore openStore() throws IOException {
        return new LeftOutStore(folder.resolve("left-out"), time);
    }

    private List<String> takeChanges() {
        List<String> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    private void recordChange(String node, boolean out, long at) {
        changes.add(node + (out ? " out" : " back"));
    }

    @Test
    void theNextProcessReadsWhichNodesAreLeftOutOrHaveJustReturned() throws Exception {
        LeftOutStore first = openStore();
        first.store("s-1", true);
        first.store("s-2/..", true);
        first.store("s-3", true);
        first.store("s-3", false);
        first.store("s-4", false);
        // the file system has another clock than the test: by the test's, the return came just now
        Files.setLastModifiedTime(
                folder.resolve("left-out/back-s-3"), FileTime.fromMillis(time.unixMs()));
        openStore().loadAll(this::recordChange);
        assertEquals(
                List.of("s-1 out", "s-2/.. out", "s-3 back"),
                takeChanges().stream().sorted().toList());
        ticker.advance(1, TimeUnit.HOURS);
        openStore().loadAll(this::recordChange);
        assertEquals(List.of("s-1 out", "s-2/.. out"), takeChanges().stream().sorted().toList());
    }

    @Test
    void aReturnIsReportedWithTheTimeOfItsCall() throws Exception {
        LeftOutStore first = openStore();
        first.store("s-1", true);
        first.store("s-1", false);
        Files.setLastModifiedTime(
                folder.resolve("left-out/back-s-1"), FileTime.fromMillis(999_000));
        List<Long> at = new ArrayList<>();
        openStore().loadAll((node, out, when) -> at.add(when));
        assertEquals(List.of(999_000L), at);
    }

    @Test
    void aCallToOneOfTwoProcessesIsSeenByTheOtherOnce() throws Exception {
        LeftOutStore old = openStore();
        LeftOutStore fresh = openStore();
        fresh.store("s-1", true);
        fresh.store("s-1", true);
        old.pollChanges(this::recordChange);
        old.pollChanges(this::recordChange);
        assertEquals(List.of("s-1 out"), takeChanges());
        old.store("s-1", false);
        old.pollChanges(this::recordChange);
        assertEquals(List.of(), takeChanges(), "a process does not report its own change");
        fresh.pollChanges(this::recordChange);
        fresh.pollChanges(this::recordChange);
        assertEquals(List.of("s-1 back"), takeChanges());
    }

    @Test
    void aFailedReadOrWriteChangesNothing() throws Exception {
        LeftOutStore process = openStore();
        process.store("s-1", true);
        Path kept = folder.resolve("left-out");
        Files.move(kept, folder.resolve("away"));
        assertThrows(IOException.class, () -> process.pollChanges(this::recordChange));
        assertThrows(IOException.class, () -> process.store("s-2", true));
        assertEquals(List.of(), takeChanges());
        Files.move(folder.resolve("away"), kept);
        process.pollChanges(this::recordChange);
        assertEquals(List.of(), takeChanges(), "s-1 is left out as before, s-2 is not");
        assertThrows(IOException.class, () -> process.store("s".repeat(300), true));
    }

    @Test
    void withoutAFolderChangesStayInThisProcess() throws Exception {
        LeftOutStore process = new LeftOutStore(null, time);
        process.store("s-1", true);
        process.pollChanges(this::recordChange);
        assertEquals(List.of(), takeChanges());
    }
}
