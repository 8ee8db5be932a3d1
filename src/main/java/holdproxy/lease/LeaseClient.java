package holdproxy.lease;

import holdproxy.consensus.RaftGroup;
import holdproxy.lease.LeaseTable.Word;
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
 * A process's part in the duties: asks for those it wants, renews those it holds, stops by its own clock,
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

    /** A safeguard that trials take away, to see that the judge finds it. */
    public enum Safeguard {
        /** The lease counts from before the asking, not from the answer. */
        FROM_ASKING,
        /** The own clock may be slow, others' fast. */
        BOUND,
        /** The duty is given back after the last act's end, not before. */
        LAST_ACT
    }

    /** What the process around it offers, and hears. */
    public interface Host {
        /** Monotonic, in microseconds. */
        long nowUs();

        /** Runs a task so many microseconds later, on the one thread. */
        void after(long us, Runnable task);

        /** Tells a process that a duty is free, or drops it. */
        void tellFree(String name, String duty, long token);

        /** From now on this process holds a duty. */
        void granted(String duty, long token);

        /** From now on it does not. */
        void ended(String duty, long token, String why);
    }

    /** An act under a duty; the duty is not given back before its end. */
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

    /** A duty that this process wants. */
    private static final class Own {
        final String duty;
        final int ms;
        long token;
        long seen;
        boolean holds;
        long untilUs;
        int acts;
        boolean asking;
        CompletableFuture<Void> giving;

        Own(String duty, int ms) {
            this.duty = duty;
            this.ms = ms;
        }
    }

    private final String name;
    private final long life;
    private final RaftGroup council;
    private final LeaseTable table;
    private final Host host;
    private final Random random;
    private final Set<Safeguard> safeguards;
    private final Map<String, Own> wanted = new LinkedHashMap<>();

    /** In a voter: since when, by its own clock, each lease is as it is. */
    private final Map<String, Long> sinceUs = new HashMap<>();

    /** In a voter: who was told that a duty is taken, and would hear of its end. */
    private final Map<String, Set<String>> waiting = new HashMap<>();

    private final Set<String> watched = new LinkedHashSet<>();
    private boolean ending;

    /** {@code table}: what this process's council keeps, if it votes. */
    public LeaseClient(
            String name, long life, RaftGroup council, LeaseTable table, Host host, Random random) {
        this(name, life, council, table, host, random, EnumSet.allOf(Safeguard.class));
    }

    /** For trials: with these safeguards alone. */
    public LeaseClient(
            String name,
            long life,
            RaftGroup council,
            LeaseTable table,
            Host host,
            Random random,
            Set<Safeguard> safeguards) {
        this.name = name;
        this.life = life;
        this.council = council;
        this.table = table;
        this.host = host;
        this.random = random;
        this.safeguards = safeguards;
        table.onChange(this::changed);
        table.onRefused(this::waits);
    }

    // ---- what the process does with them ----

    /** From now on this process asks for a duty whenever it is free, for leases of so many milliseconds. */
    public void want(String duty, int ms) {
        Own own = new Own(duty, ms);
        if (wanted.putIfAbsent(duty, own) == null) {
            ask(own);
        }
    }

    /** The token under which this process may act now; empty: it may not. To be asked before every act. */
    public OptionalLong mayAct(String duty) {
        Own own = wanted.get(duty);
        boolean may = own != null && own.holds && own.giving == null && host.nowUs() < own.untilUs;
        return may ? OptionalLong.of(own.token) : OptionalLong.empty();
    }

    /** Begins an act; null where it may not. */
    public Act begin(String duty) {
        return mayAct(duty).isPresent() ? new Act(wanted.get(duty)) : null;
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
        host.ended(own.duty, token, "handed over");
        council.propose(LeaseTable.release(own.duty, token), HAND_OVER_US)
                .whenComplete((answer, failed) -> own.giving.complete(null));
    }

    // ---- asking and renewing ----

    private void ask(Own own) {
        if (ending || own.asking || own.holds) {
            return;
        }
        own.asking = true;
        long askedUs = host.nowUs();
        council.propose(LeaseTable.ask(own.duty, name, life, own.ms, own.seen), own.ms * MS)
                .whenComplete(
                        (answer, failed) -> {
                            own.asking = false;
                            if (failed != null) {
                                again(own, askedUs);
                                return;
                            }
                            List<?> words = (List<?>) answer;
                            long token = ((Number) words.get(1)).longValue();
                            switch (Word.valueOf((String) words.get(0))) {
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
            council.propose(LeaseTable.release(own.duty, token), HAND_OVER_US);
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
        host.granted(own.duty, token);
        host.after(own.ms * MS / 3, () -> renew(own, token));
        stopInTime(own, token);
    }

    private void renew(Own own, long token) {
        if (!own.holds || own.token != token || own.giving != null) {
            return;
        }
        long askedUs = host.nowUs();
        council.propose(LeaseTable.renew(own.duty, token), own.ms * MS / 3)
                .whenComplete(
                        (answer, failed) -> {
                            if (!own.holds || own.token != token) {
                                return;
                            }
                            if (failed == null
                                    && !Word.HELD.name().equals(((List<?>) answer).get(0))) {
                                end(own, "the council has ended it");
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
        host.ended(own.duty, own.token, why);
        if (own.giving != null && own.acts == 0) {
            own.giving.complete(null);
        }
    }

    /** Whoever leads says that a duty is free. */
    public void toldFree(String duty, long token) {
        Own own = wanted.get(duty);
        if (own != null && !own.holds && token >= own.seen) {
            own.seen = token;
            ask(own);
        }
    }

    // ---- in a voter ----

    /** Every voter knows who was refused; whoever leads when the duty ends tells them. */
    private void waits(String duty, String who) {
        Set<String> all = waiting.computeIfAbsent(duty, d -> new LinkedHashSet<>());
        if (all.size() < MOST_WAITING) {
            all.add(who);
        }
    }

    private void changed(String duty) {
        Lease lease = table.lease(duty);
        if (lease != null) {
            sinceUs.put(duty, host.nowUs());
            watch(duty);
            return;
        }
        sinceUs.remove(duty);
        Set<String> all = waiting.remove(duty);
        if (all != null && council.leads()) {
            all.forEach(who -> host.tellFree(who, duty, table.lastToken(duty)));
        }
    }

    private void watch(String duty) {
        if (watched.add(duty)) {
            look(duty);
        }
    }

    private void look(String duty) {
        Lease lease = table.lease(duty);
        if (lease == null) {
            watched.remove(duty);
            return;
        }
        double part = safeguards.contains(Safeguard.BOUND) ? 1 + CLOCK_BOUND : 1;
        long endsUs = sinceUs.get(duty) + (long) (lease.ms() * MS * part);
        long nowUs = host.nowUs();
        if (nowUs >= endsUs && council.leads()) {
            council.propose(LeaseTable.expire(lease), lease.ms() * MS);
        }
        host.after(nowUs >= endsUs ? LEAST_AGAIN_US * 5 : endsUs - nowUs + 1, () -> look(duty));
    }
}
