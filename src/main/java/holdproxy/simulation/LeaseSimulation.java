package holdproxy.simulation;

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
 * Leases in virtual time: every process competes for every role and, while it holds one, acts on a
 * guarded resource that checks fencing tokens. Faults drawn from a seed affect disks, links and
 * processes in the first half; clock rates are wrong throughout.
 */
final class LeaseSimulation implements ConsensusFleet.Workload {
    private static final String RESOURCE = "resource";
    private static final int[] LEASES_MS = {1_000, 1_000, 3_000};
    private static final long ACT_EVERY_US = 40_000;

    /** Configuration for measuring the time without a holder. */
    private static final long ACT_OFTEN_US = 2_000;

    private static final double SETTLED_S = 8;
    private static final int LONGEST_ACT_US = 150_000;
    private static final int LONGEST_GAP_US = 20_000;

    /** Without a fault, a lease is free for at most this time, in seconds. */
    private static final double LAST_S = 6;

    /**
     * The result of one simulated run.
     *
     * @param broken violated rules, each with the evidence
     * @param acts number of acts begun
     * @param refused acts that the resource rejected because of their token
     * @param freeMs from the last act of one holder to the first act of the next, in milliseconds
     * @param kinds kinds of faults that were injected
     */
    record Outcome(List<String> broken, int acts, int refused, List<Long> freeMs, Set<String> kinds)
            implements ConsensusFleetOptions.Outcome {}

    /** Times are true time; {@code until} is when the holder's lease ended by its own clock. */
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
    private final Map<ConsensusFleet.Instance, Set<LeaseClient.GuardedAction>> underWay =
            new HashMap<>();
    private int refused;

    /** How the holder of a lease loses it. */
    enum Cause {
        /** The process is killed. */
        CRASH,
        /** The process is suspended for longer than its lease. */
        STALL,
        /** The process is cut off from all others. */
        CUT,
        /** The process is shut down in an orderly way. */
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

    /**
     * A simulation with these safeguards; {@code checksTokens}: whether the resource checks tokens.
     */
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
        trial.check(seconds);
        return new Outcome(
                trial.fleet.broken,
                trial.acts.size(),
                trial.refused,
                trial.freeMs,
                trial.fleet.kinds);
    }

    /**
     * Makes the holder lose one lease, in a fleet without other faults; returns the milliseconds
     * until the first act of the next holder.
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
            case CUT -> fleet.partition("cut", List.of(last.name), forUs, true, true);
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
                                                        "seed "
                                                                + seed
                                                                + ": no process acquired the"
                                                                + " lease"))
                        / 1e3
                - causedUs / 1e3;
    }

    @Override
    public StateMachine stateMachine(ConsensusFleet.Instance instance) {
        return new LeaseTable();
    }

    @Override
    public void started(ConsensusFleet.Instance instance) {
        LeaseClient own =
                new LeaseClient(
                        instance.name,
                        instance.number,
                        instance.group,
                        (LeaseTable) instance.stateMachine,
                        new LeaseHost(instance),
                        new Random(fleet.random.nextLong()),
                        safeguards);
        clients.put(instance, own);
        for (int i = 0; i < leasesMs.length; i++) {
            own.want("lease-" + i, leasesMs[i]);
            actOn(instance, "lease-" + i);
        }
    }

    @Override
    public void shuttingDown(ConsensusFleet.Instance instance, Runnable then) {
        instance.group
                .stepDown()
                .whenComplete(
                        (led, why) ->
                                clients.get(instance)
                                        .handOver()
                                        .whenComplete(
                                                (done, failed) -> {
                                                    // an instance whose lease has expired meanwhile
                                                    // has nothing to hand over
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
                                                                        + " handed over a lease"
                                                                        + " with an act in"
                                                                        + " progress");
                                                    }
                                                    then.run();
                                                }));
    }

    @Override
    public String preferredFaultTarget() {
        return acts.isEmpty() ? "" : acts.get(acts.size() - 1).name;
    }

    private final class LeaseHost implements LeaseClient.Host {
        private final ConsensusFleet.Instance instance;

        LeaseHost(ConsensusFleet.Instance instance) {
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
        public void notifyRoleFree(String name, String role, long token) {
            if (name.equals(instance.name)) {
                instance.after(0, () -> clients.get(instance).roleFreed(role, token));
            } else {
                instance.runAt(name, target -> clients.get(target).roleFreed(role, token));
            }
        }

        @Override
        public void granted(String role, long token) {
            // it checks its lease before each act
        }

        @Override
        public void ended(String role, long token, String why) {
            // it checks its lease before each act
        }
    }

    // ---- acting ----

    private void actOn(ConsensusFleet.Instance instance, String role) {
        instance.after(
                actEveryUs / 2 + fleet.random.nextInt((int) actEveryUs),
                () -> {
                    LeaseClient own = clients.get(instance);
                    LeaseClient.GuardedAction act = own.begin(role);
                    if (act != null) {
                        underWay.computeIfAbsent(instance, l -> new HashSet<>()).add(act);
                        Act seen = new Act(role, instance.name, act.token(), fleet.time.nowUs());
                        acts.add(seen);
                        // the process may be suspended between checking its lease and sending
                        instance.after(
                                fleet.random.nextInt(LONGEST_GAP_US), () -> send(instance, seen));
                        instance.after(
                                fleet.random.nextInt(
                                        Math.min(LONGEST_ACT_US, (int) (4 * actEveryUs))),
                                () -> {
                                    // once the lease has expired, the token must stop the act, not
                                    // the clock
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
        fleet.time.schedule(
                fleet.delayUs(instance.name, RESOURCE),
                () -> {
                    long before = highest.getOrDefault(act.role, 0L);
                    if (act.token < before && checksTokens) {
                        refused++;
                        return;
                    }
                    if (act.token < before) {
                        fleet.broken.add(
                                "the resource accepted an act of "
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

    // ---- checking ----

    private void check(double seconds) {
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
                                + " began an act in role "
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
                                    + " was performing an act in role "
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
                fleet.broken.add("no process acts under " + role + " in the last " + LAST_S + " s");
            }
        }
    }
}
