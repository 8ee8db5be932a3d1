package holdproxy.simulation;

import holdproxy.membership.Member;
import holdproxy.membership.MemberChange;
import holdproxy.membership.Membership;
import holdproxy.membership.Message;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A fleet of processes that track each other with the membership protocol of {@code peers}, in
 * virtual time. Faults drawn from a seed occur in the first half, none in the second, by the end of
 * which all must agree on the members.
 */
final class MembershipSimulation {
    private static final long LEAST_DELAY_US = 200;
    private static final long MOST_DELAY_US = 3_000;
    private static final int MOST_FAULTS = 6;
    private static final double FIRST_FAULT_S = 4;

    /**
     * Base of the simulated wall clocks; a starting process derives its generation from its wall
     * clock.
     */
    private static final long WALL_MS = 1_764_000_000_000L;

    private static final long HOUR_MS = 3_600_000;

    /**
     * Processes affected only by these faults may know less than others, but must not consider
     * healthy ones dead.
     */
    private static final Set<String> BLINDING =
            Set.of("stopped", "hears nobody", "nobody hears it", "cut off");

    /**
     * The result of one simulated run.
     *
     * @param broken violated rules, each with the evidence
     * @param messages total number of messages sent
     * @param foundS for each healthy process, the time until it considered a killed process dead,
     *     in seconds
     * @param kinds kinds of faults that were injected
     */
    record Outcome(List<String> broken, long messages, List<Double> foundS, Set<String> kinds) {}

    private final class Process extends SimulatedProcess implements Membership.Output {
        final String name;
        final String address;
        final Random random;
        Membership rules;

        /** When its timer fires. */
        long timerUs = Long.MAX_VALUE;

        boolean superseded;

        /** The faults that have affected it or its links. */
        final Set<String> faultsSuffered = new TreeSet<>();

        Process(String name, String address, long wallMs) {
            super(time);
            this.name = name;
            this.address = address;
            random = new Random(faultRandom.nextLong());
            rules =
                    new Membership(
                            Membership.Settings.DEFAULT,
                            name,
                            address,
                            wallMs,
                            seeds,
                            random,
                            time.nowUs(),
                            this,
                            safeguards);
            byAddress.put(address, this);
            setTimer();
        }

        boolean healthy() {
            return faultsSuffered.isEmpty();
        }

        boolean isRunning() {
            return !ended && !superseded;
        }

        void setTimer() {
            long dueUs = Math.max(rules.dueUs(), time.nowUs());
            if (dueUs < timerUs) {
                timerUs = dueUs;
                time.schedule(
                        dueUs - time.nowUs(),
                        () ->
                                run(
                                        () -> {
                                            if (dueUs == timerUs) {
                                                timerUs = Long.MAX_VALUE;
                                                if (rules.dueUs() <= time.nowUs()) {
                                                    rules.tick(time.nowUs());
                                                }
                                                setTimer();
                                            }
                                        }));
            }
        }

        @Override
        public void send(String to, String toAddress, Message message) {
            messages++;
            Process target = byAddress.get(toAddress);
            if (target == null
                    || links.cut(address, toAddress)
                    || random.nextDouble() < links.lost(address, toAddress)) {
                return;
            }
            long delay =
                    LEAST_DELAY_US
                            + (long)
                                    (random.nextDouble()
                                            * (MOST_DELAY_US + links.slowUs(address, toAddress)));
            time.schedule(
                    delay,
                    () ->
                            target.run(
                                    () -> {
                                        if (!target.superseded) {
                                            target.rules.received(time.nowUs(), message);
                                            target.setTimer();
                                        }
                                    }));
        }

        @Override
        public void changed(MemberChange change) {
            if (change.now().state() == Member.State.SUSPECT && change.now().by().equals(name)) {
                checkSuspicion(change.now());
            }
            if (change.now().state() != Member.State.DEAD || ended) {
                return;
            }
            Process subject = byAddress.get(change.now().address());
            if (subject == null) {
                return;
            }
            boolean blind = !healthy() && BLINDING.containsAll(faultsSuffered);
            if (subject.healthy()
                    && subject.isRunning()
                    && subject.rules.self().generation() == change.now().generation()
                    && (healthy() || blind)) {
                broken.add(
                        name
                                + " holds "
                                + subject.name
                                + ", which no fault has affected, for dead at "
                                + time.nowUs() / 1e6
                                + " s"
                                + (healthy() ? "" : ", itself affected by " + faultsSuffered));
            }
            Long killed = killedUs.get(subject);
            if (killed != null && healthy()) {
                foundS.add((time.nowUs() - killed) / 1e6);
            }
        }

        /** A process that was only suspended has no evidence against others. */
        private void checkSuspicion(Member other) {
            Process subject = byAddress.get(other.address());
            if (faultsSuffered.equals(Set.of("stopped")) && subject != null && subject.healthy()) {
                broken.add(
                        name
                                + ", which was only suspended, suspects "
                                + subject.name
                                + ", which no fault has affected, at "
                                + time.nowUs() / 1e6
                                + " s");
            }
        }

        @Override
        public void superseded(Member by) {
            superseded = true;
        }
    }

    private final Random faultRandom;
    private final Set<Membership.Safeguard> safeguards;
    private final List<String> seeds = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, Process> byAddress = new HashMap<>();
    private final SimulatedClock time = new SimulatedClock();
    private final SimulatedLinks links = new SimulatedLinks();
    private final Map<Process, Long> killedUs = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final List<Double> foundS = new ArrayList<>();
    private final Set<String> kinds = new TreeSet<>();
    private long messages;

    private MembershipSimulation(long seed, Set<Membership.Safeguard> safeguards) {
        faultRandom = new Random(seed * 0x9e3779b97f4a7c15L);
        this.safeguards = safeguards;
    }

    /** A simulation with faults. */
    static Outcome play(
            long seed, int processes, double seconds, Set<Membership.Safeguard> safeguards) {
        MembershipSimulation trial = new MembershipSimulation(seed, safeguards);
        trial.start(processes);
        for (int i = 1 + trial.faultRandom.nextInt(MOST_FAULTS); i > 0; i--) {
            double atS = trial.faultRandom.nextDouble(FIRST_FAULT_S, seconds * 0.4);
            trial.time.schedule((long) (atS * 1e6), () -> trial.injectFault(seconds * 0.5));
        }
        trial.time.run((long) (seconds * 1e6));
        trial.checkAgreement();
        return trial.outcome();
    }

    /** A simulation without faults. */
    static Outcome quiet(long seed, int processes, double seconds) {
        MembershipSimulation trial =
                new MembershipSimulation(seed, EnumSet.allOf(Membership.Safeguard.class));
        trial.start(processes);
        trial.time.run((long) (seconds * 1e6));
        trial.checkAgreement();
        return trial.outcome();
    }

    private Outcome outcome() {
        return new Outcome(broken, messages, foundS, kinds);
    }

    private void start(int count) {
        for (int i = 0; i < Math.min(3, count); i++) {
            seeds.add(address(i));
        }
        for (int i = 0; i < count; i++) {
            int number = i;
            time.schedule(
                    faultRandom.nextInt(1_000_000),
                    () ->
                            processes.add(
                                    new Process(
                                            "proxy-" + number,
                                            address(number),
                                            WALL_MS + time.nowUs() / 1000)));
        }
    }

    private static String address(int number) {
        return "10.0.0." + number + ":1";
    }

    // ---- faults ----

    private Process any() {
        List<Process> running = processes.stream().filter(Process::isRunning).toList();
        return running.get(faultRandom.nextInt(running.size()));
    }

    private void injectFault(double endS) {
        long leftUs = (long) (endS * 1e6) - time.nowUs();
        long forUs = Math.min(leftUs, 200_000 + (long) (faultRandom.nextDouble() * 20e6));
        if (processes.stream().filter(Process::isRunning).count() < 2) {
            return;
        }
        Process one = any();
        switch (faultRandom.nextInt(9)) {
            case 0 -> kill(one, forUs, faultRandom.nextBoolean(), 0);
            case 1 -> kill(one, forUs, true, HOUR_MS); // and its wall clock is set back
            case 2 -> stop(one, forUs);
            case 3 -> cut("hears nobody", one, forUs, false, true);
            case 4 -> cut("nobody hears it", one, forUs, true, false);
            case 5 -> cut("cut off", one, forUs, true, true);
            case 6 ->
                    injectLinkFault(
                            "lossy", one, forUs, faultRandom.nextDouble(0.1, 0.5), links::lose);
            case 7 ->
                    injectLinkFault(
                            "slow", one, forUs, faultRandom.nextDouble(1e5, 2e6), links::slow);
            default -> startDuplicate(one);
        }
    }

    private void kill(Process one, long forUs, boolean again, long setBackMs) {
        one.ended = true;
        recordFault(
                one,
                !again
                        ? "killed"
                        : setBackMs > 0 ? "killed, back with an earlier clock" : "killed, back");
        killedUs.put(one, time.nowUs());
        if (again) {
            time.schedule(
                    forUs,
                    () -> {
                        Process back =
                                new Process(
                                        one.name,
                                        one.address,
                                        WALL_MS + time.nowUs() / 1000 - setBackMs);
                        back.faultsSuffered.add("new");
                        processes.add(back);
                    });
        }
    }

    private void stop(Process one, long forUs) {
        recordFault(one, "stopped");
        one.suspend(forUs);
    }

    private void recordFault(Process one, String kind) {
        kinds.add(kind);
        one.faultsSuffered.add(kind);
    }

    private List<String> addresses() {
        return List.copyOf(byAddress.keySet());
    }

    private void cut(String kind, Process one, long forUs, boolean out, boolean in) {
        recordFault(one, kind);
        List<String> all = addresses();
        links.partition(all, List.of(one.address), out, in, 1);
        time.schedule(forUs, () -> links.partition(all, List.of(one.address), out, in, -1));
    }

    private interface LinkFault {
        void both(String one, String other, double by);
    }

    private void injectLinkFault(String kind, Process one, long forUs, double by, LinkFault harm) {
        recordFault(one, kind);
        List<String> others = addresses().stream().filter(a -> !a.equals(one.address)).toList();
        others.forEach(other -> harm.both(one.address, other, by));
        time.schedule(forUs, () -> others.forEach(other -> harm.both(one.address, other, -by)));
    }

    /** Operators start a successor elsewhere without ending the old process. */
    private void startDuplicate(Process one) {
        recordFault(one, "a second one of its name");
        Process other =
                new Process(
                        one.name,
                        address(100 + processes.size()),
                        Math.max(WALL_MS + time.nowUs() / 1000, one.rules.self().generation() + 1));
        other.faultsSuffered.add("new");
        processes.add(other);
    }

    /** Every running process must consider exactly the other running processes alive. */
    private void checkAgreement() {
        Set<String> running = new TreeSet<>();
        processes.stream()
                .filter(Process::isRunning)
                .forEach(p -> running.add(p.name + "@" + p.address));
        for (Process p : processes) {
            if (!p.isRunning()) {
                continue;
            }
            Set<String> seen = new TreeSet<>();
            seen.add(p.name + "@" + p.address);
            p.rules.others().stream()
                    .filter(Member::live)
                    .forEach(m -> seen.add(m.name() + "@" + m.address()));
            if (!seen.equals(running)) {
                Set<String> missing = new TreeSet<>(running);
                missing.removeAll(seen);
                seen.removeAll(running);
                broken.add(
                        p.name
                                + " at the end does not know "
                                + missing
                                + " and holds "
                                + seen
                                + " for alive");
            }
        }
    }
}
