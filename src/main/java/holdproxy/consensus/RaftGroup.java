package holdproxy.consensus;

import holdproxy.input.BadInput;
import io.microraft.Ordered;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftNodeReport;
import io.microraft.report.RaftNodeReportListener;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A process's part in a consensus group: voters keep the replicated log, other processes send proposals to
 * the voters. Time, randomness, transport and disk are passed in; all calls are on the host's single thread.
 *
 * <p>An operation may be committed although its answer was lost, and is then proposed again: operations must
 * be idempotent.
 */
public final class RaftGroup {
    /** Group id of MicroRaft; must not change. */
    private static final String GROUP = "council";

    private static final int ELECTION_MS = 1_000;
    private static final int HEARTBEAT_S = 1;
    private static final int LEADER_TIMEOUT_S = 5;
    private static final int ENTRIES_PER_SNAPSHOT = 1_000;
    private static final int MAX_PENDING_ENTRIES = 1_000;

    /** Entries in a frame: an entry is at most a published change of 64 KiB, a frame at most 1 MiB. */
    private static final int MAX_ENTRIES_PER_FRAME = 12;

    private static final long STEP_DOWN_TIMEOUT_US = 500_000;
    private static final long ADMISSION_RETRY_US = 500_000;

    private static final long LEADER_CHECK_INTERVAL_US = 500_000;

    /** Services of the process, and callbacks into it. */
    public interface Host {
        /** Monotonic, in microseconds. */
        long nowUs();

        /** Runs a task on the thread after this many microseconds. */
        void after(long us, Runnable task);

        /** Sends a frame to a process, or drops it. */
        void send(String name, byte[] frame);

        /** This process has become the leader, or has ceased to be. */
        void leadershipChanged(boolean now);

        /** A task of the library has failed; the consensus group continues. */
        void taskFailed(RuntimeException failure);

        /** This process no longer votes, for the given reason; it still sends proposals. */
        void stoppedVoting(String why);
    }

    private final String name;
    private final List<String> voters;

    /** The voters other than this process. */
    private final List<String> others;

    private final Host host;
    private final Random random;
    private final ProposalRouter proposals;
    private final LeaderWatch leaderWatch = new LeaderWatch();
    private final StateMachine stateMachine;
    private final ScaledClock clock;
    private RaftNode node;
    private Voter self;
    private boolean leading;
    private boolean failed;
    private boolean ended;

    /** Adapter of the current node; reports of earlier nodes are ignored. */
    private StateMachineAdapter adapter;

    /** {@code voters}: names of the voters; this process may be among them. */
    public RaftGroup(
            String name, List<String> voters, Host host, Random random, StateMachine stateMachine) {
        this.name = name;
        this.voters = List.copyOf(voters);
        others = this.voters.stream().filter(v -> !v.equals(name)).toList();
        this.host = host;
        this.random = random;
        this.stateMachine = stateMachine;
        clock = new ScaledClock(host);
        proposals = new ProposalRouter(name, others, voters.size(), host, random, new LocalNode());
    }

    /**
     * Founds a consensus group: writes the initial state of one of the first voters. Operators do this once
     * in the lifetime of a fleet, on the empty disk of each of them; throws {@link BadInput} if the disk is
     * not empty or if {@code name} is not one of {@code voters}.
     */
    public static void found(Disk disk, String name, Collection<String> voters) throws IOException {
        RaftDisk store = RaftDisk.open(disk);
        if (store.localVoter() != null) {
            throw new BadInput("there is a consensus disk already, of " + store.localVoter());
        }
        Set<RaftEndpoint> initial = initialVoters(voters);
        if (!voters.contains(name)) {
            throw new BadInput(name + " is not one of the first voters, " + voters);
        }
        store.persistAndFlushLocalEndpoint(
                RaftCodec.MODELS
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(name, 0))
                        .setVoting(true)
                        .build());
        store.persistAndFlushInitialGroupMembers(
                RaftCodec.MODELS
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(initial)
                        .setVotingMembers(initial)
                        .build());
        store.persistAndFlushTerm(
                RaftCodec.MODELS
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(0)
                        .setVotedFor(null)
                        .build());
    }

    private static Set<RaftEndpoint> initialVoters(Collection<String> voters) {
        Set<RaftEndpoint> initial = new LinkedHashSet<>();
        voters.forEach(v -> initial.add(new Voter(v, 0)));
        return initial;
    }

    /**
     * Starts the Raft node if this process is one of the voters. With an empty disk it is a new voter, which
     * asks to be admitted in place of the earlier one; with a damaged disk it does not vote.
     */
    public void start(Disk disk) {
        if (voters.contains(name)) {
            open(disk);
            checkLeader(disk);
        }
    }

    /**
     * Restarts a stuck follower from its disk, as after a crash. A MicroRaft follower waits forever for a
     * leader that is gone if a late message of that leader arrives during the follower's pre-vote.
     */
    private void checkLeader(Disk disk) {
        if (ended || !isVoting()) {
            return;
        }
        boolean follows = node.getTerm().getLeaderEndpoint() != null && !leading;
        if (leaderWatch.isStuck(follows, host.nowUs())) {
            adapter = null;
            node.terminate();
            stateMachine.clear();
            leaderWatch.restarted(host.nowUs());
            open(disk);
        }
        host.after(LEADER_CHECK_INTERVAL_US, () -> checkLeader(disk));
    }

    private void open(Disk disk) {
        try {
            RaftDisk store = RaftDisk.open(disk);
            store.onFailure(this::diskFailed);
            boolean isNew = store.localVoter() == null;
            self = isNew ? new Voter(name, random.nextLong() >>> 1 | 1) : store.localVoter();
            adapter = new StateMachineAdapter(stateMachine, this::nodeTerminated);
            RaftNode.RaftNodeBuilder builder =
                    RaftNode.newBuilder()
                            .setGroupId(GROUP)
                            .setConfig(config())
                            .setExecutor(clock)
                            .setClock(clock)
                            .setRandom(random)
                            .setTransport(new GroupTransport())
                            .setStateMachine(adapter)
                            .setStore(store)
                            .setRaftNodeReportListener(new LeaderListener(adapter));
            if (isNew) {
                builder.setLocalEndpoint(self).setInitialGroupMembers(initialVoters(voters));
            } else {
                builder.setRestoredState(store.restored());
            }
            node = builder.build();
            node.start();
            if (isNew) {
                askToBeAdmitted();
            }
        } catch (IOException | BadInput e) {
            node = null;
            host.stoppedVoting(e.getMessage());
        }
    }

    /** Stops all sending at once: what was not persisted must not be sent either. */
    private void diskFailed() {
        failed = true;
        setLeading(false);
        host.stoppedVoting("writing to the disk failed");
        host.after(0, () -> node.terminate());
    }

    private static RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(LEADER_TIMEOUT_S)
                .setCommitCountToTakeSnapshot(ENTRIES_PER_SNAPSHOT)
                .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                .setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_FRAME)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    /** Whether this process leads, as far as it knows. */
    public boolean isLeader() {
        return leading;
    }

    /**
     * Time since this voter last heard from the leader, in microseconds; 0 if it leads, {@link
     * Long#MAX_VALUE} if it has never heard from one.
     */
    public long leaderSilenceUs() {
        return leading ? 0 : leaderWatch.silentUs(host.nowUs());
    }

    /** Whether it takes part in votes. */
    public boolean isVoting() {
        return node != null && !failed && !RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** This process as a voter; null if it is none. */
    public Voter self() {
        return self;
    }

    /** The voters, as committed in this process's log; empty if it does not vote. */
    public Set<Voter> votingMembers() {
        Set<Voter> members = new LinkedHashSet<>();
        if (isVoting()) {
            node.getCommittedMembers().getVotingMembers().forEach(m -> members.add((Voter) m));
        }
        return members;
    }

    /**
     * Transfers leadership, if this process has it, to another voter; completes when that is done or takes
     * too long. To be called before leases are handed over, so that their next holders find a leader that
     * stays.
     */
    public CompletableFuture<Void> stepDown() {
        CompletableFuture<Void> completed = new CompletableFuture<>();
        if (!isVoting() || !leading) {
            completed.complete(null);
            return completed;
        }
        Optional<RaftEndpoint> other =
                node.getCommittedMembers().getVotingMembers().stream()
                        .filter(m -> !m.equals(self))
                        .findFirst();
        if (other.isPresent()) {
            node.transferLeadership(other.get())
                    .whenComplete((done, why) -> completed.complete(null));
            // the other voter may be gone
            host.after(STEP_DOWN_TIMEOUT_US, () -> completed.complete(null));
        } else {
            completed.complete(null);
        }
        return completed;
    }

    /** Stops voting for the rest of this generation; completes when the node has terminated. */
    public CompletableFuture<Void> stop() {
        ended = true;
        CompletableFuture<Void> completed = new CompletableFuture<>();
        if (isVoting()) {
            node.terminate().whenComplete((done, why) -> completed.complete(null));
        } else {
            completed.complete(null);
        }
        return completed;
    }

    // ---- proposals ----

    /**
     * Proposes an operation through the leader; completes with the state machine's answer, or exceptionally
     * if there is none within {@code withinUs}. The operation may be committed even then, and more than once.
     */
    public CompletableFuture<Object> propose(Object operation, long withinUs) {
        return proposals.propose(operation, withinUs);
    }

    private void replicate(Object operation, ProposalRouter.ResultHandler result) {
        Object known = stateMachine.answerWithoutReplication(operation);
        if (known != null) {
            host.after(0, () -> result.completed(known, null));
            return;
        }
        CompletableFuture<Ordered<Object>> agreed = node.replicate(operation);
        agreed.whenComplete(
                (ordered, why) ->
                        host.after(
                                0,
                                () ->
                                        result.completed(
                                                why == null ? ordered.getResult() : null, why)));
    }

    // ---- frames ----

    /** Handles a frame of another process; throws {@link BadInput} if it is malformed. */
    public void received(byte[] frame) {
        RaftCodec.ListReader p = RaftCodec.parts(frame);
        switch (p.text()) {
            case "raft" -> handleRaftMessage(p.text(), p.value());
            case "ask" -> handleProposal(p.text(), p.number(), p.value());
            case "answer" -> proposals.answered(p.number(), p.bool(), p.value(), p.text());
            case "admit" -> handleAdmission(p.voter());
            default -> throw new BadInput("unknown kind of consensus frame");
        }
    }

    private void handleRaftMessage(String to, Object message) {
        // a message to an earlier disk: its votes and promises are not known here
        if (isVoting() && self.toString().equals(to)) {
            RaftMessage read = RaftCodec.message(message, GROUP);
            // only these two show that the sender leads: a former leader also sends vote requests
            boolean leads =
                    read instanceof AppendEntriesRequest || read instanceof InstallSnapshotRequest;
            if (leads && read.getSender().equals(node.getTerm().getLeaderEndpoint())) {
                leaderWatch.heard(host.nowUs());
            }
            node.handle(read);
        }
    }

    private void handleProposal(String who, long number, Object operation) {
        if (!leading || ended) {
            host.send(
                    who,
                    RaftCodec.bytes(
                            Arrays.asList("answer", number, false, null, proposals.leader())));
            return;
        }
        replicate(
                operation,
                (value, why) ->
                        host.send(
                                who,
                                RaftCodec.bytes(
                                        Arrays.asList(
                                                "answer",
                                                number,
                                                why == null,
                                                value,
                                                why == null ? name : proposals.leader()))));
    }

    // ---- members ----

    private void askToBeAdmitted() {
        if (ended || !isVoting() || node.getCommittedMembers().getVotingMembers().contains(self)) {
            return;
        }
        for (String voter : others) {
            host.send(voter, RaftCodec.bytes(Arrays.asList("admit", self.toString())));
        }
        host.after(ADMISSION_RETRY_US, this::askToBeAdmitted);
    }

    private void handleAdmission(Voter newcomer) {
        if (leading && !ended && newcomer != null && voters.contains(newcomer.name())) {
            VoterAdmission.step(node, newcomer);
        }
    }

    private void nodeTerminated(StateMachineAdapter of) {
        if (!ended && !failed && adapter == of) {
            setLeading(false);
            host.stoppedVoting("another voter was admitted in its place");
        }
    }

    // ---- adapters for MicroRaft ----

    private final class GroupTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (failed) {
                return;
            }
            host.send(
                    ((Voter) to).name(),
                    RaftCodec.bytes(
                            Arrays.asList("raft", to.toString(), RaftCodec.message(message))));
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            return true; // unknown: a message may arrive
        }
    }

    private final class LocalNode implements ProposalRouter.LocalNode {
        @Override
        public boolean leads() {
            return leading;
        }

        @Override
        public void replicate(Object operation, ProposalRouter.ResultHandler result) {
            RaftGroup.this.replicate(operation, result);
        }
    }

    private final class LeaderListener implements RaftNodeReportListener {
        private final StateMachineAdapter ownAdapter;

        LeaderListener(StateMachineAdapter ownAdapter) {
            this.ownAdapter = ownAdapter;
        }

        @Override
        public void accept(RaftNodeReport report) {
            if (adapter != ownAdapter) {
                return;
            }
            RaftEndpoint now = report.getTerm().getLeaderEndpoint();
            proposals.leader(now == null || failed ? "" : ((Voter) now).name());
            setLeading(!failed && Objects.equals(now, self) && report.getRole() == RaftRole.LEADER);
        }
    }

    private void setLeading(boolean now) {
        if (leading != now) {
            leading = now;
            leaderWatch.heard(host.nowUs());
            host.leadershipChanged(now);
        }
    }
}
