package holdproxy.consensus;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Encodes MicroRaft's messages and persistent state as CBOR lists of plain values. An operation is a plain
 * value or a change of group members. Malformed input is rejected with {@link BadInput}.
 */
final class RaftCodec {
    static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final String MEMBERS = "members";
    private static final String VALUE = "value";

    private RaftCodec() {}

    /** Reads the items of a list in order. */
    static final class ListReader {
        private final List<?> parts;
        private int next;

        ListReader(Object value) {
            if (!(value instanceof List<?> list)) {
                throw new BadInput("expected a list");
            }
            parts = list;
        }

        Object value() {
            if (next >= parts.size()) {
                throw new BadInput("a list has too few items");
            }
            return parts.get(next++);
        }

        String text() {
            if (value() instanceof String text) {
                return text;
            }
            throw new BadInput("item " + next + " of a list is not a string");
        }

        long number() {
            Object value = value();
            if (value instanceof Integer || value instanceof Long) {
                return ((Number) value).longValue();
            }
            throw new BadInput("item " + next + " of a list is not a whole number");
        }

        int integer() {
            long number = number();
            if (number != (int) number) {
                throw new BadInput("item " + next + " of a list does not fit 32 bits: " + number);
            }
            return (int) number;
        }

        boolean bool() {
            if (value() instanceof Boolean flag) {
                return flag;
            }
            throw new BadInput("item " + next + " of a list is not a boolean");
        }

        Voter voter() {
            String text = text();
            try {
                return text.isEmpty() ? null : Voter.read(text);
            } catch (IndexOutOfBoundsException | NumberFormatException e) {
                throw new BadInput("item " + next + " of a list is not a voter");
            }
        }

        Collection<RaftEndpoint> voters() {
            Collection<RaftEndpoint> voters = new LinkedHashSet<>();
            ListReader inner = new ListReader(value());
            while (inner.hasNext()) {
                voters.add(inner.voter());
            }
            return voters;
        }

        boolean hasNext() {
            return next < parts.size();
        }
    }

    static byte[] bytes(Object value) {
        try {
            return CBOR.asBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a value", e);
        }
    }

    static Object value(byte[] bytes) {
        try {
            return CBOR.anyFrom(bytes);
        } catch (IOException e) {
            throw new BadInput("invalid CBOR: " + e.getClass().getSimpleName());
        }
    }

    static ListReader parts(byte[] bytes) {
        return new ListReader(value(bytes));
    }

    private static String text(RaftEndpoint voter) {
        return voter == null ? "" : voter.toString();
    }

    private static List<Object> texts(Collection<RaftEndpoint> voters) {
        List<Object> texts = new ArrayList<>();
        voters.forEach(s -> texts.add(text(s)));
        return texts;
    }

    private static List<Object> list(Object... parts) {
        return Arrays.asList(parts);
    }

    // ---- messages ----

    static List<Object> message(RaftMessage m) {
        List<Object> parts = new ArrayList<>(list(null, text(m.getSender()), m.getTerm()));
        parts.set(0, addFields(m, parts));
        return parts;
    }

    private static String addFields(RaftMessage m, List<Object> to) {
        if (m instanceof AppendEntriesRequest a) {
            List<Object> entries = new ArrayList<>();
            a.getLogEntries().forEach(e -> entries.add(entry(e)));
            to.addAll(
                    list(
                            a.getPreviousLogTerm(),
                            a.getPreviousLogIndex(),
                            a.getCommitIndex(),
                            entries,
                            a.getQuerySequenceNumber(),
                            a.getFlowControlSequenceNumber()));
            return "append";
        }
        if (m instanceof AppendEntriesSuccessResponse a) {
            to.addAll(
                    list(
                            a.getLastLogIndex(),
                            a.getQuerySequenceNumber(),
                            a.getFlowControlSequenceNumber()));
            return "appended";
        }
        if (m instanceof AppendEntriesFailureResponse a) {
            to.addAll(
                    list(
                            a.getExpectedNextIndex(),
                            a.getQuerySequenceNumber(),
                            a.getFlowControlSequenceNumber()));
            return "not-appended";
        }
        if (m instanceof PreVoteRequest v) {
            to.addAll(list(v.getLastLogTerm(), v.getLastLogIndex()));
            return "pre-vote";
        }
        if (m instanceof PreVoteResponse v) {
            to.add(v.isGranted());
            return "pre-voted";
        }
        if (m instanceof VoteRequest v) {
            to.addAll(list(v.getLastLogTerm(), v.getLastLogIndex(), v.isSticky()));
            return "vote";
        }
        if (m instanceof VoteResponse v) {
            to.add(v.isGranted());
            return "voted";
        }
        if (m instanceof TriggerLeaderElectionRequest t) {
            to.addAll(list(t.getLastLogTerm(), t.getLastLogIndex()));
            return "stand";
        }
        if (m instanceof InstallSnapshotRequest s) {
            to.addAll(
                    list(
                            s.isSenderLeader(),
                            s.getSnapshotTerm(),
                            s.getSnapshotIndex(),
                            s.getTotalSnapshotChunkCount(),
                            s.getSnapshotChunk() == null ? null : chunk(s.getSnapshotChunk()),
                            texts(s.getSnapshottedMembers()),
                            s.getGroupMembersView() == null
                                    ? null
                                    : members(s.getGroupMembersView()),
                            s.getQuerySequenceNumber(),
                            s.getFlowControlSequenceNumber()));
            return "snapshot";
        }
        InstallSnapshotResponse s = (InstallSnapshotResponse) m;
        to.addAll(
                list(
                        s.getSnapshotIndex(),
                        s.getRequestedSnapshotChunkIndex(),
                        s.getQuerySequenceNumber(),
                        s.getFlowControlSequenceNumber()));
        return "snapshot-part";
    }

    static RaftMessage message(Object value, Object group) {
        ListReader p = new ListReader(value);
        String kind = p.text();
        Voter sender = p.voter();
        int term = p.integer();
        return switch (kind) {
            case "append" ->
                    MODELS.createAppendEntriesRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setPreviousLogTerm(p.integer())
                            .setPreviousLogIndex(p.number())
                            .setCommitIndex(p.number())
                            .setLogEntries(entries(p.value()))
                            .setQuerySequenceNumber(p.number())
                            .setFlowControlSequenceNumber(p.number())
                            .build();
            case "appended" ->
                    MODELS.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(p.number())
                            .setQuerySequenceNumber(p.number())
                            .setFlowControlSequenceNumber(p.number())
                            .build();
            case "not-appended" ->
                    MODELS.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(p.number())
                            .setQuerySequenceNumber(p.number())
                            .setFlowControlSequenceNumber(p.number())
                            .build();
            case "pre-vote" ->
                    MODELS.createPreVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(p.integer())
                            .setLastLogIndex(p.number())
                            .build();
            case "pre-voted" ->
                    MODELS.createPreVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(p.bool())
                            .build();
            case "vote" ->
                    MODELS.createVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(p.integer())
                            .setLastLogIndex(p.number())
                            .setSticky(p.bool())
                            .build();
            case "voted" ->
                    MODELS.createVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(p.bool())
                            .build();
            case "stand" ->
                    MODELS.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(p.integer())
                            .setLastLogIndex(p.number())
                            .build();
            case "snapshot" ->
                    MODELS.createInstallSnapshotRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(p.bool())
                            .setSnapshotTerm(p.integer())
                            .setSnapshotIndex(p.number())
                            .setTotalSnapshotChunkCount(p.integer())
                            .setSnapshotChunk(chunk(p.value()))
                            .setSnapshottedMembers(p.voters())
                            .setGroupMembersView(members(p.value()))
                            .setQuerySequenceNumber(p.number())
                            .setFlowControlSequenceNumber(p.number())
                            .build();
            case "snapshot-part" ->
                    MODELS.createInstallSnapshotResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(p.number())
                            .setRequestedSnapshotChunkIndex(p.integer())
                            .setQuerySequenceNumber(p.number())
                            .setFlowControlSequenceNumber(p.number())
                            .build();
            default -> throw new BadInput("unknown kind of Raft message");
        };
    }

    // ---- persistent state ----

    static List<Object> entry(LogEntry e) {
        return list(e.getIndex(), e.getTerm(), encodeOperation(e.getOperation()));
    }

    static LogEntry entry(Object value) {
        ListReader p = new ListReader(value);
        return MODELS.createLogEntryBuilder()
                .setIndex(p.number())
                .setTerm(p.integer())
                .setOperation(decodeOperation(p.value()))
                .build();
    }

    private static List<LogEntry> entries(Object value) {
        List<LogEntry> entries = new ArrayList<>();
        ListReader p = new ListReader(value);
        while (p.hasNext()) {
            entries.add(entry(p.value()));
        }
        return entries;
    }

    static List<Object> chunk(SnapshotChunk c) {
        return list(
                c.getIndex(),
                c.getTerm(),
                c.getOperation(),
                c.getSnapshotChunkIndex(),
                c.getSnapshotChunkCount(),
                members(c.getGroupMembersView()));
    }

    static SnapshotChunk chunk(Object value) {
        if (value == null) {
            return null;
        }
        ListReader p = new ListReader(value);
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(p.number())
                .setTerm(p.integer())
                .setOperation(p.value())
                .setSnapshotChunkIndex(p.integer())
                .setSnapshotChunkCount(p.integer())
                .setGroupMembersView(members(p.value()))
                .build();
    }

    static List<Object> members(RaftGroupMembersView view) {
        return list(view.getLogIndex(), texts(view.getMembers()), texts(view.getVotingMembers()));
    }

    static RaftGroupMembersView members(Object value) {
        if (value == null) {
            return null;
        }
        ListReader p = new ListReader(value);
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(p.number())
                .setMembers(p.voters())
                .setVotingMembers(p.voters())
                .build();
    }

    private static List<Object> encodeOperation(Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp change) {
            return list(
                    MEMBERS,
                    texts(change.getMembers()),
                    texts(change.getVotingMembers()),
                    text(change.getEndpoint()),
                    change.getMode().name());
        }
        return list(VALUE, operation);
    }

    private static Object decodeOperation(Object value) {
        ListReader p = new ListReader(value);
        if (!p.text().equals(MEMBERS)) {
            return p.value();
        }
        Collection<RaftEndpoint> members = p.voters();
        Collection<RaftEndpoint> voting = p.voters();
        Voter voter = p.voter();
        String mode = p.text();
        return MODELS.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(members)
                .setVotingMembers(voting)
                .setEndpoint(voter)
                .setMode(
                        Arrays.stream(MembershipChangeMode.values())
                                .filter(m -> m.name().equals(mode))
                                .findFirst()
                                .orElseThrow(
                                        () -> new BadInput("unknown kind of membership change")))
                .build();
    }
}
