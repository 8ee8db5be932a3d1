package holdproxy.lab;

import holdproxy.consensus.StateMachine;
import holdproxy.lease.LeaseClient;
import holdproxy.lease.LeaseTable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Leases in virtual time: every process wants every role and acts under those it holds, at a guarded resource
 * that looks at the tokens. Faults drawn by a seed meet disks, links and processes in the first half; clocks
 * are wrong all the time.
 */
final class LeaseSimulation implements ConsensusFleet.Purpose {
    private static final String RESOURCE = "resource";
    private static final int[] LEASES_MS = {1_000, 1_000, 3_000};
    private static final long ACT_EVERY_US = 40_000;

    /** Where the time without a holder is measured. */
    private static final long ACT_OFTEN_US = 2_000;

    private static final double SETTLED_S = 8;
    private static final int LONGEST_ACT_US = 150_000;
    private static final int LONGEST_GAP_US = 20_000;

    /** Without a fault a lease is free for no longer than this, in seconds. */
    private static final double LAST_S = 6;

    /**
     * How a trial went.
     *
     * @param broken rules, by what shows it
     * @param acts that were begun
     * @param refused acts that the resource turned down for their token
     * @param freeMs from the last act of one holder to the first of the next, in milliseconds
     * @param kinds of faults that were caused
     */
    record Outcome(List<String> broken, int acts, int refused, List<Long> freeMs, Set<String> kinds)
            implements VoterOptions.Outcome {}

    /** In true time; until: to when the holder's lease lasted by its own clock. */
    private static final class Act {
        final String role;
        final String name;
        final long token;
        final long beganUs;
        long endedUs;

        Act(String role, String name, long token, long beganUs) {
            this.role = role;
            this.name = name;
            this.token = token;
            this.beganUs = beganUs;
            endedUs = beganUs;
        }
    }

    private final ConsensusFleet fleet;
    private final Set<LeaseClient.Safeguard> safeguards;
    private final boolean checksTokens;
    private final int[] leasesMs;
    private final long actEveryUs;
    private final Map<ConsensusFleet.Instance, LeaseClient> clients = new HashMap<>();
    private final List<Act> acts = new ArrayList<>();

    /** What the resource has accepted: the highest token of each role. */
    private final Map<String, Long> highest = new TreeMap<>();

    private final List<Long> freeMs = new ArrayList<>();
    private final Map<ConsensusFleet.Instance, Set<LeaseClient.Act>> underWay = new HashMap<>();
    private int refused;

    /** What takes a lease from its holder. */
    enum Cause {
        /** It is killed. */
        CRASH,
        /** It stands still for longer than its lease. */
        STALL,
        /** It is cut off from all others. */
        CUT,
        /** It is told to end. */
        PLANNED
    }

    private LeaseSimulation(
            long seed,
            int votes,
            int others,
            Set<LeaseClient.Safeguard> safeguards,
            boolean checksTokens,
            int[] leasesMs,
            long actEveryUs) {
        this.leasesMs = leasesMs;
        this.actEveryUs = actEveryUs;
        this.safeguards = safeguards;
        this.checksTokens = checksTokens;
        fleet =
                new ConsensusFleet(
                        seed, votes, others, LeaseClient.CLOCK_BOUND, this, false, false);
    }

    /** A simulation with these safeguards; {@code checksTokens}: whether the resource does. */
    static Outcome play(
            long seed,
            int votes,
            int others,
            double seconds,
            Set<LeaseClient.Safeguard> safeguards,
            boolean checksTokens) {
        LeaseSimulation trial =
                new LeaseSimulation(
                        seed, votes, others, safeguards, checksTokens, LEASES_MS, ACT_EVERY_US);
        trial.fleet.play(seconds);
        trial.judge(seconds);
        return new Outcome(
                trial.fleet.broken,
                trial.acts.size(),
                trial.refused,
                trial.freeMs,
                trial.fleet.kinds);
    }

    /**
     * Takes one lease from its holder, in a fleet in which nothing else happens; returns the milliseconds
     * from then to the first act of the next.
     */
    static double withoutHolderMs(long seed, int leaseMs, Cause cause) {
        LeaseSimulation trial =
                new LeaseSimulation(
                        seed,
                        5,
                        2,
                        EnumSet.allOf(LeaseClient.Safeguard.class),
                        true,
                        new int[] {leaseMs},
                        ACT_OFTEN_US);
        ConsensusFleet fleet = trial.fleet;
        fleet.begin();
        double leaseS = leaseMs / 1000.0;
        fleet.time.run((long) ((SETTLED_S + leaseS * (1 + fleet.random.nextDouble())) * 1e6));
        Act last = trial.acts.get(trial.acts.size() - 1);
        long causedUs = fleet.time.nowUs();
        long forUs = (long) (4 * leaseS * 1e6) + 5_000_000;
        switch (cause) {
            case CRASH ->
                    fleet.kill("crash", last.name, forUs, fleet.instances.get(last.name).disk);
            case STALL -> fleet.stop(last.name, forUs);
            case CUT -> fleet.part("cut", List.of(last.name), forUs, true, true);
            default -> fleet.restart(last.name, forUs);
        }
        fleet.time.run(causedUs + forUs);
        return trial.acts.stream()
                                .filter(a -> a.token > last.token)
                                .mapToLong(a -> a.beganUs)
                                .min()
                                .orElseThrow(
                                        () ->
                                                new IllegalStateException(
                                                        "seed " + seed + ": nobody took it"))
                        / 1e3
                - causedUs / 1e3;
    }

    @Override
    public StateMachine stateMachine(ConsensusFleet.Instance instance) {
        return new LeaseTable();
    }

    @Override
    public void begun(ConsensusFleet.Instance instance) {
        LeaseClient own =
                new LeaseClient(
                        instance.name,
                        instance.number,
                        instance.group,
                        (LeaseTable) instance.stateMachine,
                        new Held(instance),
                        new Random(fleet.random.nextLong()),
                        safeguards);
        clients.put(instance, own);
        for (int i = 0; i < leasesMs.length; i++) {
            own.want("lease-" + i, leasesMs[i]);
            actOn(instance, "lease-" + i);
        }
    }

    @Override
    public void ending(ConsensusFleet.Instance instance, Runnable then) {
        instance.group
                .stepDown()
                .whenComplete(
                        (led, why) ->
                                clients.get(instance)
                                        .handOver()
                                        .whenComplete(
                                                (done, failed) -> {
                                                    // one whose lease has run out meanwhile has
                                                    // nothing to hand over
                                                    if (underWay
                                                            .getOrDefault(instance, Set.of())
                                                            .stream()
                                                            .anyMatch(
                                                                    a ->
                                                                            a.untilUs()
                                                                                    > instance
                                                                                            .nowUs())) {
                                                        fleet.broken.add(
                                                                instance.name
                                                                        + " has handed over with an"
                                                                        + " act under way");
                                                    }
                                                    then.run();
                                                }));
    }

    @Override
    public String centre() {
        return acts.isEmpty() ? "" : acts.get(acts.size() - 1).name;
    }

    private final class Held implements LeaseClient.Host {
        private final ConsensusFleet.Instance instance;

        Held(ConsensusFleet.Instance instance) {
            this.instance = instance;
        }

        @Override
        public long nowUs() {
            return instance.nowUs();
        }

        @Override
        public void after(long us, Runnable task) {
            instance.after(us, task);
        }

        @Override
        public void notifyFree(String name, String role, long token) {
            if (name.equals(instance.name)) {
                instance.after(0, () -> clients.get(instance).notifiedFree(role, token));
            } else {
                instance.reach(name, target -> clients.get(target).notifiedFree(role, token));
            }
        }

        @Override
        public void granted(String role, long token) {
            // it looks before each act
        }

        @Override
        public void ended(String role, long token, String why) {
            // it looks before each act
        }
    }

    // ---- acting ----

    private void actOn(ConsensusFleet.Instance instance, String role) {
        instance.after(
                actEveryUs / 2 + fleet.random.nextInt((int) actEveryUs),
                () -> {
                    LeaseClient own = clients.get(instance);
                    LeaseClient.Act act = own.begin(role);
                    if (act != null) {
                        underWay.computeIfAbsent(instance, l -> new HashSet<>()).add(act);
                        Act seen = new Act(role, instance.name, act.token(), fleet.time.nowUs());
                        acts.add(seen);
                        // between its look at the lease and the sending it may be stopped
                        instance.after(
                                fleet.random.nextInt(LONGEST_GAP_US), () -> send(instance, seen));
                        instance.after(
                                fleet.random.nextInt(
                                        Math.min(LONGEST_ACT_US, (int) (4 * actEveryUs))),
                                () -> {
                                    // past its lease an act is the token's to stop, not the clock's
                                    seen.endedUs =
                                            Math.max(
                                                    seen.beganUs,
                                                    Math.min(
                                                            fleet.time.nowUs(),
                                                            instance.trueUs(act.untilUs())));
                                    underWay.get(instance).remove(act);
                                    act.close();
                                });
                    }
                    actOn(instance, role);
                });
    }

    private void send(ConsensusFleet.Instance instance, Act act) {
        fleet.time.after(
                fleet.delayUs(instance.name, RESOURCE),
                () -> {
                    long before = highest.getOrDefault(act.role, 0L);
                    if (act.token < before && checksTokens) {
                        refused++;
                        return;
                    }
                    if (act.token < before) {
                        fleet.broken.add(
                                "the resource took an act of "
                                        + act.name
                                        + " under "
                                        + act.role
                                        + " with token "
                                        + act.token
                                        + " after "
                                        + before);
                    }
                    highest.put(act.role, Math.max(before, act.token));
                });
    }

    // ---- judging ----

    private void judge(double seconds) {
        List<Act> byStart = new ArrayList<>(acts);
        byStart.sort(Comparator.comparingLong((Act a) -> a.beganUs));
        Map<String, Act> newest = new HashMap<>();
        Map<String, Act> longest = new HashMap<>();
        Map<String, Long> lastUs = new HashMap<>();
        for (Act each : byStart) {
            Act before = newest.get(each.role);
            if (before != null && each.token < before.token) {
                fleet.broken.add(
                        each.name
                                + " began an act under "
                                + each.role
                                + " with token "
                                + each.token
                                + " at "
                                + each.beganUs
                                + " us, "
                                + before.name
                                + " had with "
                                + before.token
                                + " at "
                                + before.beganUs);
            } else if (before == null || each.token > before.token) {
                if (before != null) {
                    freeMs.add((each.beganUs - lastUs.get(each.role)) / 1000);
                }
                newest.put(each.role, each);
                Act last = longest.remove(each.role);
                if (last != null && last.endedUs > each.beganUs) {
                    fleet.broken.add(
                            last.name
                                    + " was in an act under "
                                    + each.role
                                    + " with token "
                                    + last.token
                                    + " until "
                                    + last.endedUs
                                    + " us, and "
                                    + each.name
                                    + " began one with "
                                    + each.token
                                    + " at "
                                    + each.beganUs);
                }
            }
            lastUs.put(each.role, each.beganUs);
            Act last = longest.get(each.role);
            if (last == null || each.endedUs > last.endedUs) {
                longest.put(each.role, each);
            }
        }
        for (int i = 0; i < leasesMs.length; i++) {
            String role = "lease-" + i;
            if (acts.stream()
                    .noneMatch(a -> a.role.equals(role) && a.beganUs > (seconds - LAST_S) * 1e6)) {
                fleet.broken.add("nobody acts under " + role + " in the last " + LAST_S + " s");
            }
        }
    }
}
