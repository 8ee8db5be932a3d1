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
 * A process's part in a consensus group: a voter keeps the log, everybody else asks the voters. Time, chance,
 * links and the disk are handed in; all calls are on the host's one thread.
 *
 * <p>An operation that was asked for may have been agreed though its answer did not come, and is then asked
 * for again: operations have to bear that.
 */
public final class RaftGroup {
    /** In every frame of the group: not to be changed. */
    private static final String GROUP = "council";

    private static final int ELECTION_MS = 1_000;
    private static final int HEARTBEAT_S = 1;
    private static final int SILENCE_S = 5;
    private static final int SNAPSHOT_AFTER = 1_000;
    private static final int MOST_PENDING = 1_000;

    /** Entries in one frame; each is at most a published change of 64 KiB, and a frame holds 1 MiB. */
    private static final int MOST_ENTRIES_AT_ONCE = 12;

    private static final long STEP_DOWN_US = 500_000;
    private static final long ADMIT_US = 500_000;

    private static final long LOOK_US = 500_000;

    /** What the process around it offers. */
    public interface Host {
        /** Monotonic, in microseconds. */
        long nowUs();

        /** Runs a task so many microseconds later, on the one thread. */
        void after(long us, Runnable task);

        /** Sends a frame to a process, or drops it. */
        void send(String name, byte[] frame);

        /** This process leads the consensus group now, or no longer. */
        void leads(boolean now);

        /** A task of the library's has failed; the consensus group goes on. */
        void failed(RuntimeException failure);

        /** This process is out of the vote: why. It goes on asking. */
        void out(String why);
    }

    private final String name;
    private final List<String> voters;

    /** Those but this process: whom it can ask. */
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

    /** Of the node in use: what an earlier one still reports is nothing any more. */
    private StateMachineAdapter adapter;

    /**
     * {@code voters}: names of those that may be asked, this process among them or not.
     */
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
     * Founds a consensus group: writes what a first voter begins with. Once in the lifetime of a
     * fleet, by operators, on the empty disk of each of the first voters; a {@link BadInput} says that there
     * is one already.
     */
    public static void found(Disk disk, String name, Collection<String> voters) throws IOException {
        RaftDisk kept = RaftDisk.open(disk);
        if (kept.localVoter() != null) {
            throw new BadInput("there is a consensus disk already, of " + kept.localVoter());
        }
        Set<RaftEndpoint> initial = initialVoters(voters);
        if (!voters.contains(name)) {
            throw new BadInput(name + " is not one of the first voters, " + voters);
        }
        kept.persistAndFlushLocalEndpoint(
                RaftCodec.MODELS
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(name, 0))
                        .setVoting(true)
                        .build());
        kept.persistAndFlushInitialGroupMembers(
                RaftCodec.MODELS
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(initial)
                        .setVotingMembers(initial)
                        .build());
        kept.persistAndFlushTerm(
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
     * Takes up its vote, where it is one of the voters. An empty disk makes it a new one, which asks to be
     * admitted in place of what it was; a damaged one leaves it out of the vote.
     */
    public void begin(Disk disk) {
        if (voters.contains(name)) {
            open(disk);
            watch(disk);
        }
    }

    /**
     * MicroRaft's follower can come to wait for good for a leader that is gone: when a late message of that
     * leader's arrives while it asks others whether to stand for election. Begun again from its disk, as
     * after a crash, it is free of that.
     */
    private void watch(Disk disk) {
        if (ended || !votes()) {
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
        host.after(LOOK_US, () -> watch(disk));
    }

    private void open(Disk disk) {
        try {
            RaftDisk kept = RaftDisk.open(disk);
            kept.onFailure(this::diskFailed);
            boolean isNew = kept.localVoter() == null;
            self = isNew ? new Voter(name, random.nextLong() >>> 1 | 1) : kept.localVoter();
            adapter = new StateMachineAdapter(stateMachine, this::terminated);
            RaftNode.RaftNodeBuilder builder =
                    RaftNode.newBuilder()
                            .setGroupId(GROUP)
                            .setConfig(config())
                            .setExecutor(clock)
                            .setClock(clock)
                            .setRandom(random)
                            .setTransport(new Outward())
                            .setStateMachine(adapter)
                            .setStore(kept)
                            .setRaftNodeReportListener(new Heard(adapter));
            if (isNew) {
                builder.setLocalEndpoint(self).setInitialGroupMembers(initialVoters(voters));
            } else {
                builder.setRestoredState(kept.restored());
            }
            node = builder.build();
            node.start();
            if (isNew) {
                askToBeAdmitted();
            }
        } catch (IOException | BadInput e) {
            node = null;
            host.out(e.getMessage());
        }
    }

    /** At once: what could not be kept must not be said either. */
    private void diskFailed() {
        failed = true;
        lead(false);
        host.out("the disk has failed");
        host.after(0, () -> node.terminate());
    }

    private static RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(SILENCE_S)
                .setCommitCountToTakeSnapshot(SNAPSHOT_AFTER)
                .setMaxPendingLogEntryCount(MOST_PENDING)
                .setAppendEntriesRequestBatchSize(MOST_ENTRIES_AT_ONCE)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    /** Whether this process leads, as far as it knows. */
    public boolean leads() {
        return leading;
    }

    /**
     * For how long this voter has not heard the leader, in microseconds; 0 where it leads, {@link
     * Long#MAX_VALUE} where it has never heard one.
     */
    public long leaderSilentUs() {
        return leading ? 0 : leaderWatch.silentUs(host.nowUs());
    }

    /** Whether it takes part in votes. */
    public boolean votes() {
        return node != null && !failed && !RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** The voter that this process is; null where it does not vote. */
    public Voter self() {
        return self;
    }

    /** Who votes, by what this process knows to be agreed; empty where it does not vote. */
    public Set<Voter> votingMembers() {
        Set<Voter> members = new LinkedHashSet<>();
        if (votes()) {
            node.getCommittedMembers().getVotingMembers().forEach(m -> members.add((Voter) m));
        }
        return members;
    }

    /**
     * Gives leadership, if it has it, to another; completes then. Before it hands its leases over: those who
     * ask for them then find a leader that stays.
     */
    public CompletableFuture<Void> stepDown() {
        CompletableFuture<Void> over = new CompletableFuture<>();
        if (!votes() || !leading) {
            over.complete(null);
            return over;
        }
        Optional<RaftEndpoint> other =
                node.getCommittedMembers().getVotingMembers().stream()
                        .filter(m -> !m.equals(self))
                        .findFirst();
        if (other.isPresent()) {
            node.transferLeadership(other.get()).whenComplete((done, why) -> over.complete(null));
            host.after(STEP_DOWN_US, () -> over.complete(null)); // whom it was to go to may be gone
        } else {
            over.complete(null);
        }
        return over;
    }

    /** Gives its vote up for this generation; completes then. */
    public CompletableFuture<Void> end() {
        ended = true;
        CompletableFuture<Void> over = new CompletableFuture<>();
        if (votes()) {
            node.terminate().whenComplete((done, why) -> over.complete(null));
        } else {
            over.complete(null);
        }
        return over;
    }

    // ---- asking ----

    /**
     * Has an operation agreed on, by way of whoever leads; completes with the state machine's answer, or
     * exceptionally when it did not come within {@code withinUs}. It may be agreed on all the same, and more
     * than once.
     */
    public CompletableFuture<Object> propose(Object operation, long withinUs) {
        return proposals.propose(operation, withinUs);
    }

    private void replicate(Object operation, ProposalRouter.Result result) {
        Object known = stateMachine.atOnce(operation);
        if (known != null) {
            host.after(0, () -> result.of(known, null));
            return;
        }
        CompletableFuture<Ordered<Object>> agreed = node.replicate(operation);
        agreed.whenComplete(
                (ordered, why) ->
                        host.after(
                                0, () -> result.of(why == null ? ordered.getResult() : null, why)));
    }

    // ---- frames ----

    /** A frame of another process's has come; a {@link BadInput} says that it is none. */
    public void received(byte[] frame) {
        RaftCodec.Parts p = RaftCodec.parts(frame);
        switch (p.text()) {
            case "raft" -> raft(p.text(), p.value());
            case "ask" -> asked(p.text(), p.number(), p.value());
            case "answer" -> proposals.answered(p.number(), p.flag(), p.value(), p.text());
            case "admit" -> admit(p.voter());
            default -> throw new BadInput("a frame for the consensus group is of no known kind");
        }
    }

    private void raft(String to, Object message) {
        // of an earlier disk's votes and promises this process knows nothing
        if (votes() && self.toString().equals(to)) {
            RaftMessage read = RaftCodec.message(message, GROUP);
            // one that led and asks for votes now says by that that it leads no longer
            boolean leads =
                    read instanceof AppendEntriesRequest || read instanceof InstallSnapshotRequest;
            if (leads && read.getSender().equals(node.getTerm().getLeaderEndpoint())) {
                leaderWatch.heard(host.nowUs());
            }
            node.handle(read);
        }
    }

    private void asked(String who, long number, Object operation) {
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
        if (ended || !votes() || node.getCommittedMembers().getVotingMembers().contains(self)) {
            return;
        }
        for (String voter : others) {
            host.send(voter, RaftCodec.bytes(Arrays.asList("admit", self.toString())));
        }
        host.after(ADMIT_US, this::askToBeAdmitted);
    }

    private void admit(Voter newcomer) {
        if (leading && !ended && newcomer != null && voters.contains(newcomer.name())) {
            VoterAdmission.step(node, newcomer);
        }
    }

    private void terminated(StateMachineAdapter of) {
        if (!ended && !failed && adapter == of) {
            lead(false);
            host.out("another has been let in in its place");
        }
    }

    // ---- what MicroRaft is given ----

    private final class Outward implements Transport {
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
            return true; // whoever it is: what is sent may arrive
        }
    }

    private final class LocalNode implements ProposalRouter.LocalNode {
        @Override
        public boolean leads() {
            return leading;
        }

        @Override
        public void replicate(Object operation, ProposalRouter.Result result) {
            RaftGroup.this.replicate(operation, result);
        }
    }

    private final class Heard implements RaftNodeReportListener {
        private final StateMachineAdapter of;

        Heard(StateMachineAdapter of) {
            this.of = of;
        }

        @Override
        public void accept(RaftNodeReport report) {
            if (adapter != of) {
                return;
            }
            RaftEndpoint now = report.getTerm().getLeaderEndpoint();
            proposals.leader(now == null || failed ? "" : ((Voter) now).name());
            lead(!failed && Objects.equals(now, self) && report.getRole() == RaftRole.LEADER);
        }
    }

    private void lead(boolean now) {
        if (leading != now) {
            leading = now;
            leaderWatch.heard(host.nowUs());
            host.leads(now);
        }
    }
}
