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
 * The leases of a process: requests those it wants, renews those it holds, gives them up when they expire by
 * its own clock, and releases them at shutdown. In a voter it also proposes the expiry of leases that were
 * not renewed. All calls are on the host's single thread.
 *
 * <p>Two processes cannot hold a lease at once if the clock rates are within {@link #CLOCK_BOUND} of the true
 * rate. A holder counts from before it sent its request, and stops after the lease's duration less the bound.
 * A voter counts from when it applied the grant or the last renewal, which is later, and proposes the expiry
 * after the duration plus the bound; the expiry has no effect if a renewal was committed before it. A stalled
 * holder cannot stop itself in time: the resource that the lease guards has to compare the token of its last
 * action.
 */
public final class LeaseClient {
    /** Largest relative error of a clock's rate. */
    public static final double CLOCK_BOUND = 0.05;

    private static final int MOST_WAITING = 64;
    private static final long MS = 1_000;
    private static final long HAND_OVER_US = 1_000_000;
    private static final long LEAST_AGAIN_US = 20_000;

    /** A safeguard that simulations can switch off, to show that the checker finds the violation. */
    public enum Safeguard {
        /** The holder counts the lease from before its request, not from the answer. */
        FROM_ASKING,
        /** {@link #CLOCK_BOUND} is allowed for: this process's clock may be slow and others' fast. */
        BOUND,
        /** The lease is released only after the last action has ended. */
        LAST_ACT
    }

    /** Services of the process, and callbacks into it. */
    public interface Host {
        /** Monotonic, in microseconds. */
        long nowUs();

        /** Runs a task on the thread after this many microseconds. */
        void after(long us, Runnable task);

        /** Notifies a process that a role is free; the message may be lost. */
        void notifyFree(String name, String role, long token);

        /** This process holds the lease from now on. */
        void granted(String role, long token);

        /** This process no longer holds the lease. */
        void ended(String role, long token, String why);
    }

    /** An action performed under a lease; the lease is not released before it is closed. */
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

        /** When the lease that it was begun under expires, by this process's clock. */
        public long untilUs() {
            return own.token == token ? own.untilUs : untilUs;
        }

        /** Fencing token to send along, for the guarded resource to compare. */
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

    /** In a voter: when, by its own clock, each lease was last granted or renewed. */
    private final Map<String, Long> sinceUs = new HashMap<>();

    /** In a voter: processes to notify when a lease ends, since they were refused it. */
    private final Map<String, Set<String>> waiting = new HashMap<>();

    private final Set<String> watched = new LinkedHashSet<>();
    private boolean ending;

    /** {@code table}: the state machine of this process's consensus group; used if it votes. */
    public LeaseClient(
            String name,
            long generation,
            RaftGroup group,
            LeaseTable table,
            Host host,
            Random random) {
        this(name, generation, group, table, host, random, EnumSet.allOf(Safeguard.class));
    }

    /** For simulations: only the given safeguards are in effect. */
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

    // ---- use by the process ----

    /** From now on requests the role whenever it is free, for leases of {@code ms} milliseconds. */
    public void want(String role, int ms) {
        Own own = new Own(role, ms);
        if (wanted.putIfAbsent(role, own) == null) {
            ask(own);
        }
    }

    /** The token to act under now; empty if this process may not act. To be called before every action. */
    public OptionalLong mayAct(String role) {
        Own own = wanted.get(role);
        boolean may = own != null && own.holds && own.giving == null && host.nowUs() < own.untilUs;
        return may ? OptionalLong.of(own.token) : OptionalLong.empty();
    }

    /** Begins an action; null if this process may not act. */
    public Act begin(String role) {
        return mayAct(role).isPresent() ? new Act(wanted.get(role)) : null;
    }

    /** Releases all held leases once their actions have ended; completes when that is done. */
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

    // ---- requests and renewals ----

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

    /** Retries after a random delay, in case the notification that the role is free was lost. */
    private void again(Own own, long askedUs) {
        long us = own.ms * MS / 2 + (long) (random.nextDouble() * own.ms * MS / 2);
        host.after(Math.max(LEAST_AGAIN_US, us), () -> ask(own));
    }

    /** When a lease requested or renewed at {@code askedUs} expires, by this process's clock. */
    private long lastsUs(Own own, long askedUs) {
        double part = safeguards.contains(Safeguard.BOUND) ? 1 - CLOCK_BOUND : 1;
        return (safeguards.contains(Safeguard.FROM_ASKING) ? askedUs : host.nowUs())
                + (long) (own.ms * MS * part);
    }

    private void held(Own own, long token, long askedUs) {
        if (ending) {
            // requested before the shutdown, no longer needed
            group.propose(LeaseTable.release(own.role, token), HAND_OVER_US);
            return;
        }
        own.token = token;
        own.seen = token;
        own.untilUs = lastsUs(own, askedUs);
        if (host.nowUs() >= own.untilUs) {
            // expired on arrival; the voters will expire it, too
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

    /** The leader has notified this process that a role is free. */
    public void notifiedFree(String role, long token) {
        Own own = wanted.get(role);
        if (own != null && !own.holds && token >= own.seen) {
            own.seen = token;
            ask(own);
        }
    }

    // ---- in a voter ----

    /** Every voter records who was refused; the leader at the end of the lease notifies them. */
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
