package holdproxy.lease;

import holdproxy.consensus.RaftGroup;
import holdproxy.lease.LeaseTable.Outcome;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A process's part in the leases: asks for those it wants, renews those it holds, stops by its own clock,
 * hands over when it ends; and, in a voter, proposes the end of leases that nobody has renewed. All calls are
 * on the host's one thread.
 *
 * <p>Why two cannot hold at once, with clocks whose rates are true to {@link #CLOCK_BOUND}: a holder counts
 * from before it asked, and stops when its clock has gone the lease's length less the bound; a voter counts
 * from when it applied the grant or the last renewal, which is later, and proposes the end when its clock has
 * gone the length and the bound; and that end is void if a renewal came first. A stalled holder cannot stop
 * itself: for its last act there is the token, which the guarded side compares.
 */
public final class LeaseClient {
    /** How far the rate of a clock may be from the true one. */
    public static final double CLOCK_BOUND = 0.05;

    private static final int MOST_WAITING = 64;
    private static final long MS = 1_000;
    private static final long HAND_OVER_US = 1_000_000;
    private static final long LEAST_AGAIN_US = 20_000;

    /** A safeguard that simulations take away, to see that the judge finds it. */
    public enum Safeguard {
        /** The lease counts from before the asking, not from the answer. */
        FROM_ASKING,
        /** The own clock may be slow, others' fast. */
        BOUND,
        /** The lease is given back after the last act's end, not before. */
        LAST_ACT
    }

    /** What the process around it offers, and hears. */
    public interface Host {
        /** Monotonic, in microseconds. */
        long nowUs();

        /** Runs a task so many microseconds later, on the one thread. */
        void after(long us, Runnable task);

        /** Tells a process that a role is free, or drops it. */
        void notifyFree(String name, String role, long token);

        /** From now on this process holds a lease. */
        void granted(String role, long token);

        /** From now on it does not. */
        void ended(String role, long token, String why);
    }

    /** An act under a lease; the lease is not given back before its end. */
    public final class Act implements AutoCloseable {
        private final Own own;
        private final long token;
        private final long untilUs;

        private Act(Own own) {
            this.own = own;
            token = own.token;
            untilUs = own.untilUs;
            own.acts++;
        }

        /** To when the lease that it was begun under lasts, in this process's time. */
        public long untilUs() {
            return own.token == token ? own.untilUs : untilUs;
        }

        /** To be sent along, for the guarded side to compare. */
        public long token() {
            return token;
        }

        @Override
        public void close() {
            own.acts--;
            if (own.acts == 0 && own.giving != null) {
                giveBack(own);
            }
        }
    }

    /** A role that this process wants to hold. */
    private static final class Own {
        final String role;
        final int ms;
        long token;
        long seen;
        boolean holds;
        long untilUs;
        int acts;
        boolean asking;
        CompletableFuture<Void> giving;

        Own(String role, int ms) {
            this.role = role;
            this.ms = ms;
        }
    }

    private final String name;
    private final long generation;
    private final RaftGroup group;
    private final LeaseTable table;
    private final Host host;
    private final Random random;
    private final Set<Safeguard> safeguards;
    private final Map<String, Own> wanted = new LinkedHashMap<>();

    /** In a voter: since when, by its own clock, each lease is as it is. */
    private final Map<String, Long> sinceUs = new HashMap<>();

    /** In a voter: who was told that a lease is taken, and would hear of its end. */
    private final Map<String, Set<String>> waiting = new HashMap<>();

    private final Set<String> watched = new LinkedHashSet<>();
    private boolean ending;

    /** {@code table}: what this process's consensus group keeps, if it votes. */
    public LeaseClient(
            String name,
            long generation,
            RaftGroup group,
            LeaseTable table,
            Host host,
            Random random) {
        this(name, generation, group, table, host, random, EnumSet.allOf(Safeguard.class));
    }

    /** For simulations: with these safeguards alone. */
    public LeaseClient(
            String name,
            long generation,
            RaftGroup group,
            LeaseTable table,
            Host host,
            Random random,
            Set<Safeguard> safeguards) {
        this.name = name;
        this.generation = generation;
        this.group = group;
        this.table = table;
        this.host = host;
        this.random = random;
        this.safeguards = safeguards;
        table.onChange(this::changed);
        table.onRefused(this::waits);
    }

    // ---- what the process does with them ----

    /** From now on this process asks for a role whenever it is free, for leases of so many milliseconds. */
    public void want(String role, int ms) {
        Own own = new Own(role, ms);
        if (wanted.putIfAbsent(role, own) == null) {
            ask(own);
        }
    }

    /** The token under which this process may act now; empty: it may not. To be asked before every act. */
    public OptionalLong mayAct(String role) {
        Own own = wanted.get(role);
        boolean may = own != null && own.holds && own.giving == null && host.nowUs() < own.untilUs;
        return may ? OptionalLong.of(own.token) : OptionalLong.empty();
    }

    /** Begins an act; null where it may not. */
    public Act begin(String role) {
        return mayAct(role).isPresent() ? new Act(wanted.get(role)) : null;
    }

    /** The process ends: what it holds is given back once its acts are over; completes when that is done. */
    public CompletableFuture<Void> handOver() {
        ending = true;
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (Own own : wanted.values()) {
            if (own.holds && own.giving == null) {
                own.giving = new CompletableFuture<>();
                if (own.acts == 0 || !safeguards.contains(Safeguard.LAST_ACT)) {
                    giveBack(own);
                }
            }
            if (own.giving != null) {
                all.add(own.giving);
            }
        }
        return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
    }

    private void giveBack(Own own) {
        if (!own.holds) {
            own.giving.complete(null);
            return;
        }
        long token = own.token;
        own.holds = false;
        host.ended(own.role, token, "handed over");
        group.propose(LeaseTable.release(own.role, token), HAND_OVER_US)
                .whenComplete((answer, failed) -> own.giving.complete(null));
    }

    // ---- asking and renewing ----

    private void ask(Own own) {
        if (ending || own.asking || own.holds) {
            return;
        }
        own.asking = true;
        long askedUs = host.nowUs();
        group.propose(LeaseTable.ask(own.role, name, generation, own.ms, own.seen), own.ms * MS)
                .whenComplete(
                        (answer, failed) -> {
                            own.asking = false;
                            if (failed != null) {
                                again(own, askedUs);
                                return;
                            }
                            List<?> parts = (List<?>) answer;
                            long token = ((Number) parts.get(1)).longValue();
                            switch (Outcome.valueOf((String) parts.get(0))) {
                                case HELD -> held(own, token, askedUs);
                                case FREE -> {
                                    own.seen = token;
                                    host.after(
                                            1 + random.nextInt((int) LEAST_AGAIN_US),
                                            () -> ask(own));
                                }
                                default -> {
                                    own.seen = token;
                                    again(own, askedUs);
                                }
                            }
                        });
    }

    /** Not all at once: whoever waits is told when it is free, and asks now and then should that be lost. */
    private void again(Own own, long askedUs) {
        long us = own.ms * MS / 2 + (long) (random.nextDouble() * own.ms * MS / 2);
        host.after(Math.max(LEAST_AGAIN_US, us), () -> ask(own));
    }

    /** Until when a lease lasts by this process's clock that was asked for, or to be renewed, then. */
    private long lastsUs(Own own, long askedUs) {
        double part = safeguards.contains(Safeguard.BOUND) ? 1 - CLOCK_BOUND : 1;
        return (safeguards.contains(Safeguard.FROM_ASKING) ? askedUs : host.nowUs())
                + (long) (own.ms * MS * part);
    }

    private void held(Own own, long token, long askedUs) {
        if (ending) {
            // it was asked for before the end, and is of no use any more
            group.propose(LeaseTable.release(own.role, token), HAND_OVER_US);
            return;
        }
        own.token = token;
        own.seen = token;
        own.untilUs = lastsUs(own, askedUs);
        if (host.nowUs() >= own.untilUs) {
            // too late to be of use; it ends for others when they have waited for it
            again(own, askedUs);
            return;
        }
        own.holds = true;
        host.granted(own.role, token);
        host.after(own.ms * MS / 3, () -> renew(own, token));
        stopInTime(own, token);
    }

    private void renew(Own own, long token) {
        if (!own.holds || own.token != token || own.giving != null) {
            return;
        }
        long askedUs = host.nowUs();
        group.propose(LeaseTable.renew(own.role, token), own.ms * MS / 3)
                .whenComplete(
                        (answer, failed) -> {
                            if (!own.holds || own.token != token) {
                                return;
                            }
                            if (failed == null
                                    && !Outcome.HELD.name().equals(((List<?>) answer).get(0))) {
                                end(own, "the consensus group has ended it");
                                ask(own);
                            } else if (failed == null) {
                                own.untilUs = Math.max(own.untilUs, lastsUs(own, askedUs));
                                host.after(
                                        Math.max(
                                                LEAST_AGAIN_US,
                                                askedUs + own.ms * MS / 3 - host.nowUs()),
                                        () -> renew(own, token));
                            } else {
                                host.after(LEAST_AGAIN_US, () -> renew(own, token));
                            }
                        });
    }

    private void stopInTime(Own own, long token) {
        host.after(
                Math.max(1, own.untilUs - host.nowUs()),
                () -> {
                    if (!own.holds || own.token != token) {
                        return;
                    }
                    if (host.nowUs() >= own.untilUs) {
                        end(own, "not renewed in time");
                        ask(own);
                    } else {
                        stopInTime(own, token);
                    }
                });
    }

    private void end(Own own, String why) {
        own.holds = false;
        host.ended(own.role, own.token, why);
        if (own.giving != null && own.acts == 0) {
            own.giving.complete(null);
        }
    }

    /** Whoever leads says that a role is free. */
    public void notifiedFree(String role, long token) {
        Own own = wanted.get(role);
        if (own != null && !own.holds && token >= own.seen) {
            own.seen = token;
            ask(own);
        }
    }

    // ---- in a voter ----

    /** Every voter knows who was refused; whoever leads when the lease ends tells them. */
    private void waits(String role, String who) {
        Set<String> all = waiting.computeIfAbsent(role, d -> new LinkedHashSet<>());
        if (all.size() < MOST_WAITING) {
            all.add(who);
        }
    }

    private void changed(String role) {
        Lease lease = table.lease(role);
        if (lease != null) {
            sinceUs.put(role, host.nowUs());
            watch(role);
            return;
        }
        sinceUs.remove(role);
        Set<String> all = waiting.remove(role);
        if (all != null && group.leads()) {
            all.forEach(who -> host.notifyFree(who, role, table.lastToken(role)));
        }
    }

    private void watch(String role) {
        if (watched.add(role)) {
            look(role);
        }
    }

    private void look(String role) {
        Lease lease = table.lease(role);
        if (lease == null) {
            watched.remove(role);
            return;
        }
        double part = safeguards.contains(Safeguard.BOUND) ? 1 + CLOCK_BOUND : 1;
        long endsUs = sinceUs.get(role) + (long) (lease.ms() * MS * part);
        long nowUs = host.nowUs();
        if (nowUs >= endsUs && group.leads()) {
            group.propose(LeaseTable.expire(lease), lease.ms() * MS);
        }
        host.after(nowUs >= endsUs ? LEAST_AGAIN_US * 5 : endsUs - nowUs + 1, () -> look(role));
    }
}
