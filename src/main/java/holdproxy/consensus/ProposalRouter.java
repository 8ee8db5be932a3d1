package holdproxy.consensus;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Routes proposals to the leader: to the local node if it leads, else in a frame to a voter; retries until
 * there is an answer or the time limit is reached. The number of pending proposals is bounded.
 */
final class ProposalRouter {
    private static final int MAX_PENDING = 1_000;

    /** How long to wait for a voter's answer before the next voter is asked. */
    private static final long ANSWER_TIMEOUT_US = 300_000;

    /** Delay before the retry after a voter that neither leads nor knows another leader. */
    private static final long RETRY_DELAY_US = 30_000;

    /** The Raft node of this process. */
    interface LocalNode {
        /** Whether it leads, as far as it knows. */
        boolean leads();

        /** Replicates an operation; called only if the node leads. */
        void replicate(Object operation, ResultHandler result);
    }

    /** Receives the outcome of an operation. */
    interface ResultHandler {
        /** {@code value} is the answer if {@code failed} is null. */
        void completed(Object value, Throwable failed);
    }

    /** A proposal sent to a voter that has not answered yet. */
    private record Pending(
            Object operation, long deadlineUs, CompletableFuture<Object> answer, String to) {}

    private final String name;
    private final List<String> others;
    private final RaftGroup.Host host;
    private final LocalNode local;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastNumber;
    private int nextVoter;
    private String leader = "";

    /** {@code others}: the voters but this process; {@code voters}: the number of all voters. */
    ProposalRouter(
            String name,
            List<String> others,
            int voters,
            RaftGroup.Host host,
            Random random,
            LocalNode local) {
        this.name = name;
        this.others = others;
        this.host = host;
        this.local = local;
        nextVoter = random.nextInt(Math.max(1, voters));
        // random start: an answer to an earlier generation of this process may still arrive
        lastNumber = random.nextLong() >>> 2;
    }

    /** Name of the leader; empty if unknown. */
    String leader() {
        return leader;
    }

    /** Sets the name of the leader; empty if unknown. */
    void leader(String name) {
        leader = name;
    }

    /** See {@link RaftGroup#propose}. */
    CompletableFuture<Object> propose(Object operation, long withinUs) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        if (pending.size() >= MAX_PENDING) {
            answer.completeExceptionally(new IOException("too many pending proposals"));
            return answer;
        }
        route(operation, host.nowUs() + withinUs, answer);
        return answer;
    }

    private void route(Object operation, long deadlineUs, CompletableFuture<Object> answer) {
        if (answer.isDone()) {
            return;
        }
        if (host.nowUs() >= deadlineUs) {
            answer.completeExceptionally(
                    new IOException("the consensus group did not answer in time"));
        } else if (local.leads()) {
            replicateHere(operation, deadlineUs, answer);
        } else if (others.isEmpty()) {
            host.after(ANSWER_TIMEOUT_US, () -> route(operation, deadlineUs, answer));
        } else {
            askVoter(operation, deadlineUs, answer);
        }
    }

    private void replicateHere(
            Object operation, long deadlineUs, CompletableFuture<Object> answer) {
        boolean[] finished = {false};
        local.replicate(
                operation,
                (value, why) -> {
                    if (why == null) {
                        answer.complete(value);
                    } else if (!finished[0]) {
                        finished[0] = true;
                        host.after(RETRY_DELAY_US, () -> route(operation, deadlineUs, answer));
                    }
                });
        // a leader without a majority never gets a result
        host.after(
                Math.min(ANSWER_TIMEOUT_US * 4, deadlineUs - host.nowUs()),
                () -> {
                    if (!finished[0]) {
                        finished[0] = true;
                        route(operation, deadlineUs, answer);
                    }
                });
    }

    private void askVoter(Object operation, long deadlineUs, CompletableFuture<Object> answer) {
        String to = others.contains(leader) ? leader : nextVoterName();
        long number = ++lastNumber;
        pending.put(number, new Pending(operation, deadlineUs, answer, to));
        host.send(to, RaftCodec.bytes(Arrays.asList("ask", name, number, operation)));
        host.after(
                Math.min(ANSWER_TIMEOUT_US, deadlineUs - host.nowUs()),
                () -> {
                    Pending proposal = pending.remove(number);
                    if (proposal != null) {
                        leader = leader.equals(proposal.to) ? "" : leader;
                        route(operation, deadlineUs, answer);
                    }
                });
    }

    private String nextVoterName() {
        return others.get(Math.floorMod(nextVoter++, others.size()));
    }

    /** Handles a voter's answer; {@code leaderName}: the leader as known to the voter, else empty. */
    void answered(long number, boolean success, Object value, String leaderName) {
        Pending proposal = pending.remove(number);
        if (proposal == null) {
            return; // too late: the proposal has been sent again
        }
        leader = leaderName;
        if (success) {
            proposal.answer.complete(value);
            return;
        }
        // there may be no leader at the moment: retry after a delay
        long delayUs = leaderName.isEmpty() || leaderName.equals(proposal.to) ? RETRY_DELAY_US : 0;
        host.after(delayUs, () -> route(proposal.operation, proposal.deadlineUs, proposal.answer));
    }
}
