package holdproxy.simulation;

import holdproxy.consensus.RaftGroup;
import holdproxy.consensus.StateMachine;
import holdproxy.consensus.Voter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Simulated processes around a consensus group in virtual time, each with its own disk, clock and
 * links, and the faults injected into them. What the processes use the group for is defined by the
 * {@link Workload}.
 */
final class ConsensusFleet {
    private static final long LEAST_DELAY_US = 200;
    private static final long MOST_DELAY_US = 4_000;
    private static final long FORCE_US = 500;
    private static final int MOST_FAULTS = 7;
    private static final long LOOK_US = 100_000;
    private static final long LAG_US = 1_000_000;
    private static final long LATE_US = 270_000;

    /** What the simulated processes use the consensus group for. */
    interface Workload {
        /** Creates the state machine of an instance that starts. */
        StateMachine stateMachine(Instance instance);

        /** Called when the instance has joined its consensus group. */
        void started(Instance instance);

        /** Called when the instance is to shut down; {@code then} must be run once it may exit. */
        void shuttingDown(Instance instance, Runnable then);

        /**
         * The process against which faults are most revealing now; empty if there is no preference.
         */
        default String preferredFaultTarget() {
            return "";
        }
    }

    /** One incarnation of a process. */
    final class Instance extends SimulatedProcess implements RaftGroup.Host {
        final String name;
        final long number;
        final MemoryDisk disk;
        final RaftGroup group;
        final StateMachine stateMachine;
        final double rate;
        boolean isOut;

        private Instance(String name, MemoryDisk disk) {
            super(time);
            this.name = name;
            this.disk = disk;
            number = ++lastInstanceNumber;
            rate = rates.get(name);
            stateMachine = purpose.stateMachine(this);
            group = new RaftGroup(name, voters, this, new Random(random.nextLong()), stateMachine);
        }

        /** Delay measured by the process's own clock. */
        @Override
        public long nowUs() {
            return (long) (time.nowUs() * rate);
        }

        /** The true time at which the process's clock shows the given time. */
        long trueUs(long ownUs) {
            return (long) (ownUs / rate);
        }

        /** Delay measured by the process's own clock. */
        @Override
        public void after(long us, Runnable task) {
            time.schedule((long) Math.ceil(us / rate), () -> run(task));
        }

        @Override
        public void send(String to, byte[] frame) {
            runAt(to, instance -> instance.group.received(frame));
        }

        /**
         * Runs an action on the receiving process when a message from this one arrives, if it
         * arrives.
         */
        void runAt(String to, Consumer<Instance> what) {
            if (links.cut(name, to)) {
                return;
            }
            time.schedule(
                    delayUs(name, to),
                    () -> {
                        Instance target = instances.get(to);
                        if (target != null) {
                            target.run(() -> what.accept(target));
                        }
                    });
        }

        @Override
        public void leadershipChanged(boolean now) {
            if (now) {
                leaders.add(name);
            }
        }

        /** Ends the process; whatever its disk had not made durable is lost. */
        private void die() {
            ended = true;
            disk.crash();
        }

        @Override
        public void taskFailed(RuntimeException failure) {
            kinds.add("a task of the library failed");
        }

        @Override
        public void stoppedVoting(String why) {
            isOut = true;
        }
    }

    final SimulatedClock time = new SimulatedClock();
    final Random random;
    final SimulatedLinks links = new SimulatedLinks();
    final List<String> names = new ArrayList<>();
    final List<String> voters;
    final Map<String, Instance> instances = new TreeMap<>();
    final List<String> broken = new ArrayList<>();
    final Set<String> kinds = new TreeSet<>();
    private final Map<String, Double> rates = new TreeMap<>();
    private final Workload purpose;
    private final boolean disksLoseDurableData;
    private final boolean lostDisksKeepVotes;
    private final List<String> leaders = new ArrayList<>();
    private long disksLostUntilUs;
    private long lastInstanceNumber;

    /**
     * Creates the given numbers of voters and of other processes. {@code clockBound} is the largest
     * relative deviation of a clock's rate from true time. Disk faults passed here are planted bugs
     * that the checker must find.
     */
    ConsensusFleet(
            long seed,
            int votes,
            int others,
            double clockBound,
            Workload purpose,
            boolean forgetfulDisks,
            boolean lostDisksKeepVotes) {
        random = new Random(seed * 0x9e3779b97f4a7c15L);
        this.purpose = purpose;
        this.disksLoseDurableData = forgetfulDisks;
        this.lostDisksKeepVotes = lostDisksKeepVotes;
        for (int i = 0; i < votes + others; i++) {
            names.add("proxy-" + i);
            rates.put("proxy-" + i, 1 + (random.nextDouble() * 2 - 1) * clockBound);
        }
        voters = List.copyOf(names.subList(0, votes));
    }

    /**
     * Starts all processes, injects faults during the first half of the run and runs to its end.
     */
    void play(double seconds) {
        long endUs = (long) (seconds * 1e6);
        begin();
        for (int i = 1 + random.nextInt(MOST_FAULTS); i > 0; i--) {
            time.schedule(
                    (long) (random.nextDouble(2, seconds * 0.4) * 1e6),
                    () -> injectFault(endUs / 2));
        }
        time.run(endUs);
    }

    /** Starts all processes; the initial voters get initialized disks. */
    void begin() {
        for (String name : names) {
            MemoryDisk disk = disk();
            if (voters.contains(name)) {
                initializeDisk(disk, name);
            }
            start(name, disk);
        }
    }

    long delayUs(String from, String to) {
        return LEAST_DELAY_US
                + FORCE_US
                + links.lateUs(from, to)
                + (long) (random.nextDouble() * (MOST_DELAY_US + links.slowUs(from, to)));
    }

    private MemoryDisk disk() {
        return new MemoryDisk(new Random(random.nextLong()), disksLoseDurableData);
    }

    private void initializeDisk(MemoryDisk disk, String name) {
        try {
            RaftGroup.found(disk, name, voters);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void start(String name, MemoryDisk disk) {
        Instance instance = new Instance(name, disk);
        instances.put(name, instance);
        instance.group.start(disk);
        purpose.started(instance);
    }

    // ---- faults ----

    /** Faults that can also be applied to processes that do not vote. */
    private static final Set<Integer> OF_ALL = Set.of(0, 2, 3, 4, 5, 7, 9);

    /**
     * Cuts off one voter; when it is back, kills the leader and wipes the disk of another voter.
     * Entries that only these two held must not be treated as if they had never been committed.
     */
    private void loseNewestEntries(String leader, long forUs) {
        List<String> others = voters.stream().filter(v -> !v.equals(leader)).toList();
        if (!allVote() || others.size() != 2) {
            return;
        }
        String behind = others.get(0);
        disksLostUntilUs = time.nowUs() + 2 * LAG_US;
        partition("behind", List.of(behind), LAG_US, true, true);
        time.schedule(
                LAG_US,
                () -> {
                    kill("killed", leader, Math.max(forUs, LAG_US), instances.get(leader).disk);
                    loseDisk(others.get(1), LOOK_US, true);
                });
    }

    /** Operators replace the disk of a damaged voter as soon as they find it running. */
    private void replace(String name) {
        if (instances.get(name).ended) {
            time.schedule(LOOK_US, () -> replace(name));
        } else {
            kill("disk replaced", name, 0, disk());
        }
    }

    private void injectFault(long endUs) {
        long forUs = Math.min(endUs - time.nowUs(), 200_000 + (long) (random.nextDouble() * 12e6));
        String one = voters.get(random.nextInt(voters.size()));
        String leader = leaders.isEmpty() ? one : leaders.get(leaders.size() - 1);
        String target =
                purpose.preferredFaultTarget().isEmpty() ? leader : purpose.preferredFaultTarget();
        int whom = random.nextInt(3);
        int what = random.nextInt(13);
        if (whom == 0) {
            one = leader;
        } else if (whom == 1 && (voters.contains(target) || OF_ALL.contains(what))) {
            one = target;
        }
        String other = random.nextBoolean() ? target : names.get(random.nextInt(names.size()));
        switch (what) {
            case 0 -> kill("killed", one, forUs, instances.get(one).disk);
            case 1 -> loseDisk(one, forUs, false);
            case 2 -> stop(one, forUs);
            case 3 -> partition("cut off", List.of(one), forUs, true, true);
            case 4 -> partition("hears nobody", List.of(one), forUs, false, true);
            case 5 -> partition("nobody hears it", List.of(one), forUs, true, false);
            case 6 -> split(forUs);
            case 7 -> slow(random.nextBoolean() ? leader : one, other, forUs);
            case 8 -> fullDisk(one, forUs);
            case 9 -> restart(one, forUs);
            case 10 -> loseNewestEntries(leader, forUs);
            case 11 -> delayAnswers(leader, target, forUs);
            default -> flipBit(one, forUs);
        }
    }

    void kill(String kind, String name, long forUs, MemoryDisk then) {
        Instance instance = instances.get(name);
        if (instance.ended) {
            return;
        }
        kinds.add(kind);
        instance.die();
        time.schedule(forUs, () -> start(name, then));
    }

    /**
     * Loses disks one at a time only: if two of three voters lost theirs at once, the group could
     * never commit again.
     */
    private boolean allVote() {
        Set<Voter> expected = new LinkedHashSet<>();
        voters.forEach(v -> expected.add(instances.get(v).group.self()));
        return time.nowUs() > disksLostUntilUs
                && voters.stream()
                        .map(instances::get)
                        .allMatch(
                                l ->
                                        !l.ended
                                                && l.group.isVoting()
                                                && l.group.votingMembers().equals(expected));
    }

    /** Delays answers to just before their time-out, then cuts them off entirely. */
    private void delayAnswers(String from, String to, long forUs) {
        if (from.equals(to)) {
            return;
        }
        kinds.add("late answers");
        links.late(from, to, LATE_US);
        long cutUs = (long) (random.nextDouble() * forUs / 2);
        time.schedule(cutUs, () -> partition("cut off", List.of(to), forUs / 2, true, true));
        time.schedule(forUs, () -> links.late(from, to, -LATE_US));
    }

    private void loseDisk(String name, long forUs, boolean anyhow) {
        if (!anyhow && !allVote()) {
            return;
        }
        disksLostUntilUs = time.nowUs() + forUs;
        MemoryDisk fresh = disk();
        if (lostDisksKeepVotes) {
            initializeDisk(fresh, name);
        }
        kill("disk lost", name, forUs, fresh);
    }

    void stop(String name, long forUs) {
        kinds.add("stopped");
        instances.get(name).suspend(forUs);
    }

    void partition(String kind, List<String> some, long forUs, boolean out, boolean in) {
        kinds.add(kind);
        links.partition(names, some, out, in, 1);
        time.schedule(forUs, () -> links.partition(names, some, out, in, -1));
    }

    /**
     * Splits the voters into three parts, so that with five voters no part has a majority, or into
     * two.
     */
    private void split(long forUs) {
        kinds.add("split");
        List<String> mixed = new ArrayList<>(names);
        Collections.shuffle(mixed, random);
        int first = 1 + random.nextInt(Math.max(1, mixed.size() / 2));
        List<String> a = List.copyOf(mixed.subList(0, first));
        List<String> b =
                random.nextBoolean()
                        ? List.of()
                        : List.copyOf(mixed.subList(first, Math.min(mixed.size(), first + 2)));
        links.partition(names, a, true, true, 1);
        links.partition(names, b, true, true, 1);
        time.schedule(
                forUs,
                () -> {
                    links.partition(names, a, true, true, -1);
                    links.partition(names, b, true, true, -1);
                });
    }

    private void slow(String one, String other, long forUs) {
        kinds.add("slow");
        double us = random.nextDouble(1e5, 3e6);
        links.slow(one, other, us);
        time.schedule(forUs, () -> links.slow(one, other, -us));
    }

    /**
     * A voter leaves the group when a write or a sync of its disk fails; operators free space and
     * start it again.
     */
    private void fullDisk(String name, long forUs) {
        Instance instance = instances.get(name);
        if (instance.ended) {
            return;
        }
        boolean full = random.nextBoolean();
        kinds.add(full ? "disk full" : "disk not forced");
        instance.disk.full(full);
        instance.disk.failSync(!full);
        time.schedule(
                forUs,
                () -> {
                    instance.disk.full(false);
                    instance.disk.failSync(false);
                    Instance now = instances.get(name);
                    if (now.disk == instance.disk && !now.ended && !now.group.isVoting()) {
                        kill("disk mended", name, 0, instance.disk);
                    }
                });
    }

    void restart(String name, long forUs) {
        Instance instance = instances.get(name);
        if (instance.ended) {
            return;
        }
        kinds.add("restarted");
        instance.run(
                () ->
                        purpose.shuttingDown(
                                instance,
                                () ->
                                        instance.group
                                                .stop()
                                                .whenComplete(
                                                        (done, failed) -> {
                                                            if (!instance.ended) {
                                                                instance.die();
                                                                time.schedule(
                                                                        forUs,
                                                                        () ->
                                                                                start(
                                                                                        name,
                                                                                        instance.disk));
                                                            }
                                                        })));
    }

    /**
     * Flips one bit on the disk before a restart: the voter must stay out of the group until its
     * disk is replaced.
     */
    private void flipBit(String name, long forUs) {
        Instance instance = instances.get(name);
        if (!allVote()) {
            return;
        }
        disksLostUntilUs = time.nowUs() + forUs;
        kinds.add("bit flipped");
        instance.die();
        instance.disk.flipBit();
        time.schedule(
                forUs / 2,
                () -> {
                    start(name, instance.disk);
                    if (!instances.get(name).isOut) {
                        broken.add(name + " votes despite a damaged disk");
                    }
                    time.schedule(forUs / 2, () -> replace(name));
                });
    }
}
