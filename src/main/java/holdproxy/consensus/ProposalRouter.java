package holdproxy.consensus;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Brings proposals to whoever leads: to the local node where it does, else by a frame to a voter, again and
 * again until there is an answer or the time is over. Bounded in what waits at once.
 */
final class ProposalRouter {
    private static final int MOST_PENDING = 1_000;

    /** One voter is waited for so long before the next is asked. */
    private static final long ASK_US = 300_000;

    /** And after it has said that it does not lead, and knows nobody who does. */
    private static final long AGAIN_US = 30_000;

    /** The node of this process. */
    interface LocalNode {
        /** Whether it leads, as far as it knows. */
        boolean leads();

        /** Has an operation agreed on; only where it leads. */
        void replicate(Object operation, Result result);
    }

    /** What an operation came to. */
    interface Result {
        /** {@code failed}: null where {@code value} is the answer. */
        void of(Object value, Throwable failed);
    }

    /** A proposal that a voter was asked for. */
    private record Pending(
            Object operation, long endUs, CompletableFuture<Object> answer, String to) {}

    private final String name;
    private final List<String> others;
    private final RaftGroup.Host host;
    private final LocalNode local;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastNumber;
    private int nextVoter;
    private String leader = "";

    /** {@code others}: the voters that can be asked, this process not among them. */
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
        // not from 0: an answer to an earlier generation of this name may still be under way
        lastNumber = random.nextLong() >>> 2;
    }

    /** Who leads, as far as is known; else empty. */
    String leader() {
        return leader;
    }

    /** {@code name}: empty where nobody is known to lead. */
    void leader(String name) {
        leader = name;
    }

    /** See {@link RaftGroup#propose}. */
    CompletableFuture<Object> propose(Object operation, long withinUs) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        if (pending.size() >= MOST_PENDING) {
            answer.completeExceptionally(new IOException("too much is asked at once"));
            return answer;
        }
        route(operation, host.nowUs() + withinUs, answer);
        return answer;
    }

    private void route(Object operation, long endUs, CompletableFuture<Object> answer) {
        if (answer.isDone()) {
            return;
        }
        if (host.nowUs() >= endUs) {
            answer.completeExceptionally(
                    new IOException("the consensus group has not answered in time"));
        } else if (local.leads()) {
            replicateHere(operation, endUs, answer);
        } else if (others.isEmpty()) {
            host.after(ASK_US, () -> route(operation, endUs, answer));
        } else {
            askVoter(operation, endUs, answer);
        }
    }

    private void replicateHere(Object operation, long endUs, CompletableFuture<Object> answer) {
        boolean[] over = {false};
        local.replicate(
                operation,
                (value, why) -> {
                    if (why == null) {
                        answer.complete(value);
                    } else if (!over[0]) {
                        over[0] = true;
                        host.after(AGAIN_US, () -> route(operation, endUs, answer));
                    }
                });
        // a leader without a majority never hears of it
        host.after(
                Math.min(ASK_US * 4, endUs - host.nowUs()),
                () -> {
                    if (!over[0]) {
                        over[0] = true;
                        route(operation, endUs, answer);
                    }
                });
    }

    private void askVoter(Object operation, long endUs, CompletableFuture<Object> answer) {
        String to = others.contains(leader) ? leader : next();
        long number = ++lastNumber;
        pending.put(number, new Pending(operation, endUs, answer, to));
        host.send(to, RaftCodec.bytes(Arrays.asList("ask", name, number, operation)));
        host.after(
                Math.min(ASK_US, endUs - host.nowUs()),
                () -> {
                    Pending mine = pending.remove(number);
                    if (mine != null) {
                        leader = leader.equals(mine.to) ? "" : leader;
                        route(operation, endUs, answer);
                    }
                });
    }

    private String next() {
        return others.get(Math.floorMod(nextVoter++, others.size()));
    }

    /** A voter's answer has come; {@code whoLeads}: who leads as far as the voter knows, else empty. */
    void answered(long number, boolean done, Object value, String whoLeads) {
        Pending mine = pending.remove(number);
        if (mine == null) {
            return; // too late: it was asked for again
        }
        leader = whoLeads;
        if (done) {
            mine.answer.complete(value);
            return;
        }
        // nobody may lead for a moment: not at once again
        long delayUs = whoLeads.isEmpty() || whoLeads.equals(mine.to) ? AGAIN_US : 0;
        host.after(delayUs, () -> route(mine.operation, mine.endUs, mine.answer));
    }
}
