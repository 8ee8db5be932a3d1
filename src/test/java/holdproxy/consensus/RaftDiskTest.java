package holdproxy.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.input.BadInput;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Persistent state of a voter in a real file: restored, truncated, damaged, rewritten. */
class RaftDiskTest {
    @TempDir Path folder;

    private Path file() {
        return folder.resolve("council");
    }

    private static LogEntry entry(long index, int term, Object operation) {
        return RaftCodec.MODELS
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    private RaftDisk founded() throws IOException {
        try (FileDisk disk = new FileDisk(file())) {
            RaftGroup.found(disk, "a", List.of("a", "b", "c"));
        }
        return RaftDisk.open(new FileDisk(file()));
    }

    private RestoredRaftState reopen() throws IOException {
        return RaftDisk.open(new FileDisk(file())).restored();
    }

    private static List<Long> indices(RestoredRaftState state) {
        return state.getLogEntries().stream().map(LogEntry::getIndex).toList();
    }

    @Test
    void persistedStateIsRestored() throws Exception {
        RaftDisk disk = founded();
        disk.persistAndFlushTerm(
                RaftCodec.MODELS
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(7)
                        .setVotedFor(new Voter("b", 0))
                        .build());
        disk.persistLogEntries(
                List.of(
                        entry(1, 7, null),
                        entry(2, 7, Arrays.asList("x", 1, true, null)),
                        entry(3, 7, "y"),
                        entry(4, 7, "z")));
        disk.truncateLogEntriesFrom(4);
        disk.persistLogEntries(List.of(entry(4, 8, "other")));
        disk.flush();
        RestoredRaftState state = reopen();
        assertEquals(new Voter("a", 0), state.getLocalEndpointPersistentState().getLocalEndpoint());
        assertEquals(3, state.getInitialGroupMembers().getVotingMembers().size());
        assertEquals(7, state.getTermPersistentState().getTerm());
        assertEquals(new Voter("b", 0), state.getTermPersistentState().getVotedFor());
        assertEquals(List.of(1L, 2L, 3L, 4L), indices(state));
        assertEquals(
                Arrays.asList("x", 1, true, null), state.getLogEntries().get(1).getOperation());
        assertEquals("other", state.getLogEntries().get(3).getOperation());
        assertEquals(8, state.getLogEntries().get(3).getTerm());
        assertNull(state.getSnapshotEntry());
    }

    @Test
    void aTruncatedRecordIsRemovedAndLaterOnesAreRestored() throws Exception {
        RaftDisk disk = founded();
        disk.persistLogEntries(List.of(entry(1, 1, "one")));
        disk.flush();
        byte[] safe = Files.readAllBytes(file());
        disk.persistLogEntries(List.of(entry(2, 1, "two")));
        byte[] whole = Files.readAllBytes(file());
        for (int length = safe.length; length < whole.length; length++) {
            Files.write(file(), Arrays.copyOf(whole, length));
            RaftDisk cut = RaftDisk.open(new FileDisk(file()));
            assertEquals(List.of(1L), indices(cut.restored()), length + " bytes");
            cut.persistLogEntries(List.of(entry(2, 1, "new")));
            cut.flush();
            assertEquals(List.of(1L, 2L), indices(reopen()), length + " bytes");
        }
        // allocated but never written
        Files.write(file(), Arrays.copyOf(whole, whole.length + 4096));
        assertEquals(List.of(1L, 2L), indices(reopen()));
    }

    /** Any single flipped bit of flushed data is detected, and the message names the record. */
    @Test
    void anyFlippedBitIsDetected() throws Exception {
        RaftDisk disk = founded();
        disk.persistLogEntries(List.of(entry(1, 1, "one"), entry(2, 1, "two")));
        disk.flush();
        byte[] whole = Files.readAllBytes(file());
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] flipped = whole.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file(), flipped);
            String message = assertThrows(BadInput.class, this::reopen, "bit " + bit).getMessage();
            assertTrue(
                    message.startsWith("the record at byte ") && message.contains("is damaged"),
                    message);
        }
    }

    @Test
    void theFileIsRewrittenWhenMostOfItIsObsolete() throws Exception {
        RaftDisk disk = founded();
        String text = "x".repeat(1000);
        for (long i = 1; i <= 20_000; i++) {
            disk.persistLogEntries(List.of(entry(i, 1, text)));
            if (i % 1000 == 0) {
                disk.persistSnapshotChunk(
                        RaftCodec.MODELS
                                .createSnapshotChunkBuilder()
                                .setIndex(i)
                                .setTerm(1)
                                .setOperation("all to " + i)
                                .setSnapshotChunkIndex(0)
                                .setSnapshotChunkCount(1)
                                .setGroupMembersView(reopen().getInitialGroupMembers())
                                .build());
                disk.flush();
                disk.deleteSnapshotChunks(i - 1000, 1);
                disk.truncateLogEntriesUntil(i - 100);
            }
        }
        disk.flush();
        assertTrue(Files.size(file()) < 3 << 20, Files.size(file()) + " bytes");
        RestoredRaftState state = reopen();
        assertEquals(20_000, state.getSnapshotEntry().getIndex());
        assertEquals(
                "all to 20000",
                ((List<?>) state.getSnapshotEntry().getOperation()).size() == 1
                        ? ((io.microraft.model.log.SnapshotChunk)
                                        ((List<?>) state.getSnapshotEntry().getOperation()).get(0))
                                .getOperation()
                        : null);
        assertEquals(List.of(), indices(state));
    }

    @Test
    void afterAFailureNothingMoreIsWritten() throws Exception {
        founded();
        FileDisk real = new FileDisk(file());
        boolean[] fails = {false};
        RaftDisk disk =
                RaftDisk.open(
                        new Disk() {
                            @Override
                            public byte[] read() throws IOException {
                                return real.read();
                            }

                            @Override
                            public void append(byte[] bytes) throws IOException {
                                real.append(fails[0] ? Arrays.copyOf(bytes, 5) : bytes);
                                if (fails[0]) {
                                    throw new IOException("no space left on device");
                                }
                            }

                            @Override
                            public void force() throws IOException {
                                real.force();
                            }

                            @Override
                            public void replace(byte[] bytes) throws IOException {
                                real.replace(bytes);
                            }
                        });
        disk.persistLogEntries(List.of(entry(1, 1, "one")));
        disk.flush();
        fails[0] = true;
        assertThrows(IOException.class, () -> disk.persistLogEntries(List.of(entry(2, 1, "two"))));
        fails[0] = false;
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> disk.persistLogEntries(List.of(entry(2, 1, "two"))))
                        .getMessage()
                        .contains("after a failure"));
        assertThrows(IOException.class, disk::flush);
        assertEquals(LongStream.of(1).boxed().toList(), indices(reopen()));
    }

    @Test
    void aConsensusGroupIsFoundedOnce() throws Exception {
        founded();
        try (FileDisk disk = new FileDisk(file())) {
            assertTrue(
                    assertThrows(
                                    BadInput.class,
                                    () -> RaftGroup.found(disk, "a", List.of("a", "b", "c")))
                            .getMessage()
                            .contains("already"));
        }
        try (FileDisk disk = new FileDisk(folder.resolve("other"))) {
            assertTrue(
                    assertThrows(
                                    BadInput.class,
                                    () -> RaftGroup.found(disk, "d", List.of("a", "b", "c")))
                            .getMessage()
                            .contains("not one of the first voters"));
        }
    }
}
