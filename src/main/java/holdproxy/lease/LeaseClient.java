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

    private static final int MAX_WAITING = 64;
    private static final long US_PER_MS = 1_000;
    private static final long RELEASE_TIMEOUT_US = 1_000_000;
    private static final long MIN_RETRY_US = 20_000;

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
        void notifyRoleFree(String name, String role, long token);

        /** This process holds the lease from now on. */
        void granted(String role, long token);

        /** This process no longer holds the lease. */
        void ended(String role, long token, String why);
    }

    /** An action performed under a lease; the lease is not released before it is closed. */
    public final class GuardedAction implements AutoCloseable {
        private final WantedRole wantedRole;
        private final long token;
        private final long untilUs;

        private GuardedAction(WantedRole wantedRole) {
            this.wantedRole = wantedRole;
            token = wantedRole.token;
            untilUs = wantedRole.untilUs;
            wantedRole.openActs++;
        }

        /** When the lease that it was begun under expires, by this process's clock. */
        public long untilUs() {
            return wantedRole.token == token ? wantedRole.untilUs : untilUs;
        }

        /** Fencing token to send along, for the guarded resource to compare. */
        public long token() {
            return token;
        }

        @Override
        public void close() {
            wantedRole.openActs--;
            if (wantedRole.openActs == 0 && wantedRole.releasing != null) {
                release(wantedRole);
            }
        }
    }

    /** A role that this process wants to hold. */
    private static final class WantedRole {
        final String role;
        final int ms;
        long token;
        long lastSeenToken;
        boolean holds;
        long untilUs;
        int openActs;
        boolean requesting;
        CompletableFuture<Void> releasing;

        WantedRole(String role, int ms) {
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
    private final Map<String, WantedRole> wanted = new LinkedHashMap<>();

    /** In a voter: when, by its own clock, each lease was last granted or renewed. */
    private final Map<String, Long> changedUs = new HashMap<>();

    /** In a voter: processes to notify when a lease ends, since they were refused it. */
    private final Map<String, Set<String>> waiting = new HashMap<>();

    private final Set<String> watched = new LinkedHashSet<>();
    private boolean shuttingDown;

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
        table.onRefused(this::addWaiting);
    }

    // ---- use by the process ----

    /** From now on requests the role whenever it is free, for leases of {@code ms} milliseconds. */
    public void want(String role, int ms) {
        WantedRole wantedRole = new WantedRole(role, ms);
        if (wanted.putIfAbsent(role, wantedRole) == null) {
            request(wantedRole);
        }
    }

    /** The token to act under now; empty if this process may not act. To be called before every action. */
    public OptionalLong mayAct(String role) {
        WantedRole wantedRole = wanted.get(role);
        boolean may =
                wantedRole != null
                        && wantedRole.holds
                        && wantedRole.releasing == null
                        && host.nowUs() < wantedRole.untilUs;
        return may ? OptionalLong.of(wantedRole.token) : OptionalLong.empty();
    }

    /** Begins an action; null if this process may not act. */
    public GuardedAction begin(String role) {
        return mayAct(role).isPresent() ? new GuardedAction(wanted.get(role)) : null;
    }

    /** Releases all held leases once their actions have ended; completes when that is done. */
    public CompletableFuture<Void> handOver() {
        shuttingDown = true;
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (WantedRole wantedRole : wanted.values()) {
            if (wantedRole.holds && wantedRole.releasing == null) {
                wantedRole.releasing = new CompletableFuture<>();
                if (wantedRole.openActs == 0 || !safeguards.contains(Safeguard.LAST_ACT)) {
                    release(wantedRole);
                }
            }
            if (wantedRole.releasing != null) {
                all.add(wantedRole.releasing);
            }
        }
        return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
    }

    private void release(WantedRole wantedRole) {
        if (!wantedRole.holds) {
            wantedRole.releasing.complete(null);
            return;
        }
        long token = wantedRole.token;
        wantedRole.holds = false;
        host.ended(wantedRole.role, token, "handed over");
        group.propose(LeaseTable.release(wantedRole.role, token), RELEASE_TIMEOUT_US)
                .whenComplete((answer, failed) -> wantedRole.releasing.complete(null));
    }

    // ---- requests and renewals ----

    private void request(WantedRole wantedRole) {
        if (shuttingDown || wantedRole.requesting || wantedRole.holds) {
            return;
        }
        wantedRole.requesting = true;
        long askedUs = host.nowUs();
        group.propose(
                        LeaseTable.ask(
                                wantedRole.role,
                                name,
                                generation,
                                wantedRole.ms,
                                wantedRole.lastSeenToken),
                        wantedRole.ms * US_PER_MS)
                .whenComplete(
                        (answer, failed) -> {
                            wantedRole.requesting = false;
                            if (failed != null) {
                                retryLater(wantedRole, askedUs);
                                return;
                            }
                            List<?> parts = (List<?>) answer;
                            long token = ((Number) parts.get(1)).longValue();
                            switch (Outcome.valueOf((String) parts.get(0))) {
                                case HELD -> leaseGranted(wantedRole, token, askedUs);
                                case FREE -> {
                                    wantedRole.lastSeenToken = token;
                                    host.after(
                                            1 + random.nextInt((int) MIN_RETRY_US),
                                            () -> request(wantedRole));
                                }
                                default -> {
                                    wantedRole.lastSeenToken = token;
                                    retryLater(wantedRole, askedUs);
                                }
                            }
                        });
    }

    /** Retries after a random delay, in case the notification that the role is free was lost. */
    private void retryLater(WantedRole wantedRole, long askedUs) {
        long us =
                wantedRole.ms * US_PER_MS / 2
                        + (long) (random.nextDouble() * wantedRole.ms * US_PER_MS / 2);
        host.after(Math.max(MIN_RETRY_US, us), () -> request(wantedRole));
    }

    /** When a lease requested or renewed at {@code askedUs} expires, by this process's clock. */
    private long expiryUs(WantedRole wantedRole, long askedUs) {
        double factor = safeguards.contains(Safeguard.BOUND) ? 1 - CLOCK_BOUND : 1;
        return (safeguards.contains(Safeguard.FROM_ASKING) ? askedUs : host.nowUs())
                + (long) (wantedRole.ms * US_PER_MS * factor);
    }

    private void leaseGranted(WantedRole wantedRole, long token, long askedUs) {
        if (shuttingDown) {
            // requested before the shutdown, no longer needed
            group.propose(LeaseTable.release(wantedRole.role, token), RELEASE_TIMEOUT_US);
            return;
        }
        wantedRole.token = token;
        wantedRole.lastSeenToken = token;
        wantedRole.untilUs = expiryUs(wantedRole, askedUs);
        if (host.nowUs() >= wantedRole.untilUs) {
            // expired on arrival; the voters will expire it, too
            retryLater(wantedRole, askedUs);
            return;
        }
        wantedRole.holds = true;
        host.granted(wantedRole.role, token);
        host.after(wantedRole.ms * US_PER_MS / 3, () -> renew(wantedRole, token));
        scheduleExpiry(wantedRole, token);
    }

    private void renew(WantedRole wantedRole, long token) {
        if (!wantedRole.holds || wantedRole.token != token || wantedRole.releasing != null) {
            return;
        }
        long askedUs = host.nowUs();
        group.propose(LeaseTable.renew(wantedRole.role, token), wantedRole.ms * US_PER_MS / 3)
                .whenComplete(
                        (answer, failed) -> {
                            if (!wantedRole.holds || wantedRole.token != token) {
                                return;
                            }
                            if (failed == null
                                    && !Outcome.HELD.name().equals(((List<?>) answer).get(0))) {
                                stopHolding(wantedRole, "the consensus group has ended it");
                                request(wantedRole);
                            } else if (failed == null) {
                                wantedRole.untilUs =
                                        Math.max(wantedRole.untilUs, expiryUs(wantedRole, askedUs));
                                host.after(
                                        Math.max(
                                                MIN_RETRY_US,
                                                askedUs
                                                        + wantedRole.ms * US_PER_MS / 3
                                                        - host.nowUs()),
                                        () -> renew(wantedRole, token));
                            } else {
                                host.after(MIN_RETRY_US, () -> renew(wantedRole, token));
                            }
                        });
    }

    private void scheduleExpiry(WantedRole wantedRole, long token) {
        host.after(
                Math.max(1, wantedRole.untilUs - host.nowUs()),
                () -> {
                    if (!wantedRole.holds || wantedRole.token != token) {
                        return;
                    }
                    if (host.nowUs() >= wantedRole.untilUs) {
                        stopHolding(wantedRole, "not renewed in time");
                        request(wantedRole);
                    } else {
                        scheduleExpiry(wantedRole, token);
                    }
                });
    }

    private void stopHolding(WantedRole wantedRole, String why) {
        wantedRole.holds = false;
        host.ended(wantedRole.role, wantedRole.token, why);
        if (wantedRole.releasing != null && wantedRole.openActs == 0) {
            wantedRole.releasing.complete(null);
        }
    }

    /** The leader has notified this process that a role is free. */
    public void roleFreed(String role, long token) {
        WantedRole wantedRole = wanted.get(role);
        if (wantedRole != null && !wantedRole.holds && token >= wantedRole.lastSeenToken) {
            wantedRole.lastSeenToken = token;
            request(wantedRole);
        }
    }

    // ---- in a voter ----

    /** Every voter records who was refused; the leader at the end of the lease notifies them. */
    private void addWaiting(String role, String who) {
        Set<String> all = waiting.computeIfAbsent(role, d -> new LinkedHashSet<>());
        if (all.size() < MAX_WAITING) {
            all.add(who);
        }
    }

    private void changed(String role) {
        Lease lease = table.lease(role);
        if (lease != null) {
            changedUs.put(role, host.nowUs());
            watchExpiry(role);
            return;
        }
        changedUs.remove(role);
        Set<String> all = waiting.remove(role);
        if (all != null && group.isLeader()) {
            all.forEach(who -> host.notifyRoleFree(who, role, table.lastToken(role)));
        }
    }

    private void watchExpiry(String role) {
        if (watched.add(role)) {
            checkExpiry(role);
        }
    }

    private void checkExpiry(String role) {
        Lease lease = table.lease(role);
        if (lease == null) {
            watched.remove(role);
            return;
        }
        double factor = safeguards.contains(Safeguard.BOUND) ? 1 + CLOCK_BOUND : 1;
        long endsUs = changedUs.get(role) + (long) (lease.durationMs() * US_PER_MS * factor);
        long nowUs = host.nowUs();
        if (nowUs >= endsUs && group.isLeader()) {
            group.propose(LeaseTable.expire(lease), lease.durationMs() * US_PER_MS);
        }
        host.after(
                nowUs >= endsUs ? MIN_RETRY_US * 5 : endsUs - nowUs + 1, () -> checkExpiry(role));
    }
}
