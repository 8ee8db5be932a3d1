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
    private final Time time = new Time(ticker, () -> 1_000_000);
    private final List<String> changes = new ArrayList<>();

    private KeptOut openStore() throws IOException {
        return new KeptOut(folder.resolve("left-out"), time);
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
        KeptOut first = openStore();
        first.keep("s-1", true);
        first.keep("s-2/..", true);
        first.keep("s-3", true);
        first.keep("s-3", false);
        first.keep("s-4", false);
        // the file system has another clock than the test: by the test's, the return came just now
        Files.setLastModifiedTime(
                folder.resolve("left-out/back-s-3"), FileTime.fromMillis(time.unixMs()));
        openStore().all(this::recordChange);
        assertEquals(
                List.of("s-1 out", "s-2/.. out", "s-3 back"),
                takeChanges().stream().sorted().toList());
        ticker.advance(1, TimeUnit.HOURS);
        openStore().all(this::recordChange);
        assertEquals(List.of("s-1 out", "s-2/.. out"), takeChanges().stream().sorted().toList());
    }

    @Test
    void aReturnIsReportedWithTheTimeOfItsCall() throws Exception {
        KeptOut first = openStore();
        first.keep("s-1", true);
        first.keep("s-1", false);
        Files.setLastModifiedTime(
                folder.resolve("left-out/back-s-1"), FileTime.fromMillis(999_000));
        List<Long> at = new ArrayList<>();
        openStore().all((node, out, when) -> at.add(when));
        assertEquals(List.of(999_000L), at);
    }

    @Test
    void aCallToOneOfTwoProcessesIsSeenByTheOtherOnce() throws Exception {
        KeptOut old = openStore();
        KeptOut fresh = openStore();
        fresh.keep("s-1", true);
        fresh.keep("s-1", true);
        old.changes(this::recordChange);
        old.changes(this::recordChange);
        assertEquals(List.of("s-1 out"), takeChanges());
        old.keep("s-1", false);
        old.changes(this::recordChange);
        assertEquals(List.of(), takeChanges(), "a process does not report its own change");
        fresh.changes(this::recordChange);
        fresh.changes(this::recordChange);
        assertEquals(List.of("s-1 back"), takeChanges());
    }

    @Test
    void aFailedReadOrWriteChangesNothing() throws Exception {
        KeptOut process = openStore();
        process.keep("s-1", true);
        Path kept = folder.resolve("left-out");
        Files.move(kept, folder.resolve("away"));
        assertThrows(IOException.class, () -> process.changes(this::recordChange));
        assertThrows(IOException.class, () -> process.keep("s-2", true));
        assertEquals(List.of(), takeChanges());
        Files.move(folder.resolve("away"), kept);
        process.changes(this::recordChange);
        assertEquals(List.of(), takeChanges(), "s-1 is left out as before, s-2 is not");
        assertThrows(IOException.class, () -> process.keep("s".repeat(300), true));
    }

    @Test
    void withoutAFolderChangesStayInThisProcess() throws Exception {
        KeptOut process = new KeptOut(null, time);
        process.keep("s-1", true);
        process.changes(this::recordChange);
        assertEquals(List.of(), takeChanges());
    }
}
