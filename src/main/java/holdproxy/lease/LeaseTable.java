package holdproxy.lease;

import holdproxy.consensus.StateMachine;
import holdproxy.input.BadInput;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The replicated table of leases, identical in every voter. No clock is read here: a lease expires when a
 * voter that has waited long enough proposes it, unless it has been renewed meanwhile.
 *
 * <p>Requests and releases carry the token last seen, so that a late or repeated operation changes nothing.
 */
public final class LeaseTable implements StateMachine {
    /** Largest number of roles; their names come from the program and from operators. */
    public static final int MAX_ROLES = 1_000;

    /** Outcome of an operation, with the values that follow it in the answer. */
    public enum Outcome {
        /** The requester holds the lease: token, renewals. */
        HELD,
        /** Another process holds it: token, holder. */
        TAKEN,
        /** Free but not granted, since another token was seen than the last, or for too many roles: token. */
        FREE,
        /** The lease with this token has ended. */
        ENDED,
        /** The lease to end had already ended or been renewed. */
        UNCHANGED
    }

    private final Map<String, Lease> held = new TreeMap<>();

    /** Last token of each role that was ever held. */
    private final Map<String, Long> lastTokens = new TreeMap<>();

    private long highestToken;
    private Consumer<String> changeListener = role -> {};
    private BiConsumer<String, String> refusalListener = (role, name) -> {};

    /** {@code listener} receives each role that is granted, renewed or ended, in log order. */
    public void onChange(Consumer<String> listener) {
        changeListener = listener;
    }

    /** {@code listener} receives the role and the process whose request was refused as taken. */
    public void onRefused(BiConsumer<String, String> listener) {
        refusalListener = listener;
    }

    /** The current lease of a role; null if nobody holds it. */
    public Lease lease(String role) {
        return held.get(role);
    }

    /** All current leases. */
    public List<Lease> leases() {
        return List.copyOf(held.values());
    }

    /** The last token of a role; 0 if it was never held. */
    public long lastToken(String role) {
        return lastTokens.getOrDefault(role, 0L);
    }

    // ---- operations ----

    static List<Object> ask(String role, String name, long generation, int ms, long seen) {
        return Arrays.asList("ask", role, name, generation, ms, seen);
    }

    static List<Object> renew(String role, long token) {
        return Arrays.asList("renew", role, token);
    }

    static List<Object> release(String role, long token) {
        return Arrays.asList("release", role, token);
    }

    static List<Object> expire(Lease lease) {
        return Arrays.asList("expire", lease.role(), lease.token(), lease.renewals());
    }

    @Override
    public Object apply(long index, Object operation) {
        List<?> op = (List<?>) operation;
        String role = (String) op.get(1);
        return switch ((String) op.get(0)) {
            case "ask" ->
                    applyRequest(
                            role,
                            (String) op.get(2),
                            number(op, 3),
                            (int) number(op, 4),
                            number(op, 5));
            case "renew" -> applyRenewal(role, number(op, 2));
            case "release" -> applyEnd(role, number(op, 2), -1);
            case "expire" -> applyEnd(role, number(op, 2), number(op, 3));
            default -> throw new BadInput("unknown lease operation: " + op.get(0));
        };
    }

    /** Refuses requests for a taken lease without the log, which forty waiting processes would fill. */
    @Override
    public Object answerWithoutReplication(Object operation) {
        List<?> op = (List<?>) operation;
        Lease lease = op.get(0).equals("ask") ? held.get(op.get(1)) : null;
        if (lease == null
                || lease.holder().equals(op.get(2)) && lease.generation() == number(op, 3)) {
            return null;
        }
        refusalListener.accept(lease.role(), (String) op.get(2));
        return answer(Outcome.TAKEN, lease.token(), lease.holder());
    }

    private static long number(List<?> op, int i) {
        return ((Number) op.get(i)).longValue();
    }

    private static List<Object> answer(Outcome outcome, Object... parts) {
        List<Object> answer = new ArrayList<>();
        answer.add(outcome.name());
        answer.addAll(Arrays.asList(parts));
        return answer;
    }

    private List<Object> applyRequest(
            String role, String name, long generation, int ms, long seen) {
        Lease lease = held.get(role);
        if (lease != null) {
            boolean own = lease.holder().equals(name) && lease.generation() == generation;
            if (own) {
                // the holder counts from its repeated request, so the voters must count anew, too
                return applyRenewal(role, lease.token());
            }
            refusalListener.accept(role, name);
            return answer(Outcome.TAKEN, lease.token(), lease.holder());
        }
        if (lastToken(role) != seen
                || lastTokens.size() >= MAX_ROLES && !lastTokens.containsKey(role)) {
            return answer(Outcome.FREE, lastToken(role));
        }
        highestToken++;
        held.put(role, new Lease(role, highestToken, name, generation, ms, 0));
        lastTokens.put(role, highestToken);
        changeListener.accept(role);
        return answer(Outcome.HELD, highestToken, 0L);
    }

    private List<Object> applyRenewal(String role, long token) {
        Lease lease = held.get(role);
        if (lease == null || lease.token() != token) {
            return answer(Outcome.ENDED);
        }
        held.put(role, lease.renewed());
        changeListener.accept(role);
        return answer(Outcome.HELD, token, lease.renewals() + 1);
    }

    private List<Object> applyEnd(String role, long token, long renewals) {
        Lease lease = held.get(role);
        if (lease == null
                || lease.token() != token
                || renewals >= 0 && lease.renewals() != renewals) {
            return answer(Outcome.UNCHANGED);
        }
        held.remove(role);
        changeListener.accept(role);
        return answer(Outcome.ENDED);
    }

    // ---- snapshots ----

    @Override
    public void clear() {
        held.clear();
        lastTokens.clear();
        highestToken = 0;
    }

    @Override
    public List<Object> snapshot() {
        List<Object> leases = new ArrayList<>();
        held.values()
                .forEach(
                        l ->
                                leases.add(
                                        Arrays.asList(
                                                l.role(),
                                                l.token(),
                                                l.holder(),
                                                l.generation(),
                                                l.durationMs(),
                                                l.renewals())));
        List<Object> lasts = new ArrayList<>();
        lastTokens.forEach((role, token) -> lasts.add(Arrays.asList(role, token)));
        return List.of(Arrays.asList(highestToken, leases, lasts));
    }

    @Override
    public void restore(List<Object> parts) {
        List<?> all = (List<?>) parts.get(0);
        clear();
        highestToken = number(all, 0);
        for (Object each : (List<?>) all.get(1)) {
            List<?> l = (List<?>) each;
            held.put(
                    (String) l.get(0),
                    new Lease(
                            (String) l.get(0),
                            number(l, 1),
                            (String) l.get(2),
                            number(l, 3),
                            (int) number(l, 4),
                            number(l, 5)));
        }
        for (Object each : (List<?>) all.get(2)) {
            List<?> pair = (List<?>) each;
            lastTokens.put((String) pair.get(0), number(pair, 1));
        }
        lastTokens.keySet().forEach(changeListener);
    }
}
