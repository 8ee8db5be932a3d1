package holdproxy.consensus;

import holdproxy.input.BadInput;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Persistent state of a voter: records with checksums, appended to one file. When the file is opened again it
 * holds everything that was flushed, or a {@link BadInput} says where it is damaged; the voter must then not
 * vote, since it no longer knows its earlier votes and promises. A truncated record at the end was never
 * flushed and is removed.
 *
 * <p>After a failure nothing more is written, and the voter must be stopped, since MicroRaft itself would
 * continue with its state in memory. The last snapshot and the entries after it are kept; the file is
 * rewritten when four fifths of it are obsolete.
 */
final class RaftDisk implements RaftStore {
    private static final short MAGIC = 0x5231;
    private static final int HEADER_BYTES = 14;
    private static final int MAX_RECORD_BYTES = 64 << 20;

    /** A file of at most this many bytes is never rewritten. */
    private static final int MIN_REWRITE_BYTES = 1 << 20;

    private final Disk disk;
    private Runnable onFailure = () -> {};
    private Voter localVoter;
    private boolean voting = true;
    private List<Object> initialMembers;
    private int term;
    private Voter votedFor;

    /** Log entries as encoded records, by index; {@code chunks}: the same for snapshot chunks. */
    private final TreeMap<Long, byte[]> entries = new TreeMap<>();

    private final TreeMap<Long, TreeMap<Integer, byte[]>> chunks = new TreeMap<>();
    private long fileBytes;
    private long liveBytes;
    private IOException failure;

    private RaftDisk(Disk disk) {
        this.disk = disk;
    }

    /** Reads the file; throws {@link BadInput} if it is damaged. */
    static RaftDisk open(Disk disk) throws IOException {
        RaftDisk opened = new RaftDisk(disk);
        byte[] bytes = disk.read();
        int end = opened.applyRecords(bytes);
        if (end < bytes.length) {
            disk.replace(Arrays.copyOf(bytes, end));
        }
        opened.fileBytes = end;
        return opened;
    }

    /** Sets an action to run once if a write fails; the voter must not vote from then on. */
    void onFailure(Runnable action) {
        onFailure = action;
    }

    /** The voter that the file belongs to; null if it has never been written. */
    Voter localVoter() {
        return localVoter;
    }

    /** The state to restart a {@link io.microraft.RaftNode} from; requires a local voter. */
    RestoredRaftState restored() {
        SnapshotEntry snapshot = snapshot();
        List<LogEntry> after = new ArrayList<>();
        entries.tailMap(snapshot == null ? 0 : snapshot.getIndex(), false)
                .values()
                .forEach(e -> after.add(RaftCodec.entry(decodeValue(e))));
        return new RestoredRaftState(
                RaftCodec.MODELS
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(localVoter)
                        .setVoting(voting)
                        .build(),
                RaftCodec.members(initialMembers),
                RaftCodec.MODELS
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(votedFor)
                        .build(),
                snapshot,
                after);
    }

    private SnapshotEntry snapshot() {
        for (long index : chunks.descendingKeySet()) {
            List<SnapshotChunk> parts = new ArrayList<>();
            chunks.get(index).values().forEach(c -> parts.add(RaftCodec.chunk(decodeValue(c))));
            if (parts.size() == parts.get(0).getSnapshotChunkCount()) {
                return RaftCodec.MODELS
                        .createSnapshotEntryBuilder()
                        .setIndex(index)
                        .setTerm(parts.get(0).getTerm())
                        .setSnapshotChunks(parts)
                        .setGroupMembersView(parts.get(0).getGroupMembersView())
                        .build();
            }
        }
        return null;
    }

    // ---- records ----

    private static byte[] encodeRecord(Object... parts) {
        byte[] body = RaftCodec.bytes(Arrays.asList(parts));
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + body.length);
        record.putShort(MAGIC).putInt(body.length);
        record.putInt(crc(record.array(), 0, record.position()))
                .putInt(crc(body, 0, body.length))
                .put(body);
        return record.array();
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** Decodes the value of a record that holds a single one. */
    private static Object decodeValue(byte[] record) {
        RaftCodec.ListReader parts =
                RaftCodec.parts(Arrays.copyOfRange(record, HEADER_BYTES, record.length));
        parts.text();
        return parts.value();
    }

    /** Applies all complete records; returns the offset at which the last of them ends. */
    private int applyRecords(byte[] file) {
        int at = 0;
        while (at < file.length) {
            if (file.length - at < HEADER_BYTES || allZero(file, at)) {
                return at; // truncated, or allocated but never written
            }
            ByteBuffer head = ByteBuffer.wrap(file, at, HEADER_BYTES);
            boolean magicMatches = head.getShort() == MAGIC;
            int length = head.getInt();
            if (!magicMatches
                    || head.getInt() != crc(file, at, 6)
                    || length < 1
                    || length > MAX_RECORD_BYTES) {
                throw damaged(at);
            }
            if (file.length - at - HEADER_BYTES < length) {
                return at;
            }
            if (head.getInt() != crc(file, at + HEADER_BYTES, length)) {
                throw damaged(at);
            }
            byte[] record = Arrays.copyOfRange(file, at, at + HEADER_BYTES + length);
            try {
                apply(record);
            } catch (BadInput e) {
                throw new BadInput(
                        "the record at byte " + at + " cannot be read: " + e.getMessage());
            }
            at += record.length;
        }
        return at;
    }

    private static boolean allZero(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }

    private static BadInput damaged(int at) {
        return new BadInput("the record at byte " + at + " is damaged: its checksum does not hold");
    }

    private void apply(byte[] record) {
        RaftCodec.ListReader p =
                RaftCodec.parts(Arrays.copyOfRange(record, HEADER_BYTES, record.length));
        switch (p.text()) {
            case "seat" -> {
                localVoter = p.voter();
                voting = p.bool();
            }
            case "members" -> initialMembers = listOfObjects(p.value());
            case "term" -> {
                term = p.integer();
                votedFor = p.voter();
            }
            case "entry" -> put(entries, new RaftCodec.ListReader(p.value()).number(), record);
            case "chunk" -> {
                SnapshotChunk chunk = RaftCodec.chunk(p.value());
                put(
                        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()),
                        chunk.getSnapshotChunkIndex(),
                        record);
            }
            case "cut-from" -> remove(entries.tailMap(p.number(), true));
            case "cut-until" -> remove(entries.headMap(p.number(), true));
            case "cut-chunks" -> {
                TreeMap<Integer, byte[]> gone = chunks.remove(p.number());
                if (gone != null) {
                    remove(gone);
                }
            }
            default -> throw new BadInput("unknown record type");
        }
    }

    @SuppressWarnings("unchecked") // the decoder creates only lists of objects
    private static List<Object> listOfObjects(Object list) {
        return (List<Object>) list;
    }

    private <K> void put(Map<K, byte[]> into, K key, byte[] record) {
        byte[] before = into.put(key, record);
        liveBytes += record.length - (before == null ? 0 : before.length);
    }

    private void remove(Map<?, byte[]> gone) {
        gone.values().forEach(r -> liveBytes -= r.length);
        gone.clear();
    }

    // ---- RaftStore ----

    private interface Write {
        void run() throws IOException;
    }

    private void guarded(Write write) throws IOException {
        if (failure != null) {
            throw new IOException("no more writes after a failure", failure);
        }
        try {
            write.run();
        } catch (IOException e) {
            failure = e;
            onFailure.run();
            throw e;
        }
    }

    private void appendRecord(Object... parts) throws IOException {
        guarded(
                () -> {
                    byte[] record = encodeRecord(parts);
                    if (record.length > MAX_RECORD_BYTES) {
                        throw new IOException("record too large: " + record.length + " bytes");
                    }
                    disk.append(record);
                    fileBytes += record.length;
                    apply(record);
                });
    }

    private void appendAndFlush(Object... parts) throws IOException {
        appendRecord(parts);
        flush();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        appendAndFlush("seat", state.getLocalEndpoint().toString(), state.isVoting());
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members)
            throws IOException {
        appendAndFlush("members", RaftCodec.members(members));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        RaftEndpoint voted = state.getVotedFor();
        appendAndFlush("term", state.getTerm(), voted == null ? "" : voted.toString());
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            appendRecord("entry", RaftCodec.entry(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        appendRecord("chunk", RaftCodec.chunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        appendRecord("cut-from", index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        appendRecord("cut-until", index);
        if (fileBytes > MIN_REWRITE_BYTES && fileBytes > 5 * liveBytes) {
            guarded(this::rewrite);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        appendRecord("cut-chunks", index);
    }

    @Override
    public void flush() throws IOException {
        guarded(disk::force);
    }

    private void rewrite() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(encodeRecord("seat", localVoter.toString(), voting));
        out.write(encodeRecord("members", initialMembers));
        out.write(encodeRecord("term", term, votedFor == null ? "" : votedFor.toString()));
        for (TreeMap<Integer, byte[]> parts : chunks.values()) {
            for (byte[] part : parts.values()) {
                out.write(part);
            }
        }
        for (byte[] entry : entries.values()) {
            out.write(entry);
        }
        disk.replace(out.toByteArray());
        fileBytes = out.size();
    }
}
