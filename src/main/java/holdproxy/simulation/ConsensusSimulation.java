package holdproxy.simulation;

import holdproxy.consensus.StateMachine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A consensus group in virtual time: voters and other processes that submit operations. Faults
 * drawn from a seed occur in the first part, none in the second. The checker examines one history:
 * what was committed at each log index, what was answered, and when.
 */
final class ConsensusSimulation implements ConsensusFleet.Workload {
    private static final long ASK_EVERY_US = 250_000;
    private static final long WITHIN_US = 5_000_000;
    private static final int PARTS = 3;

    /** A bug planted in the program, to verify that the checker finds it. */
    enum Planted {
        /** The disk reports data as durable that is not. */
        FORGETFUL_DISK,
        /** A voter that lost its disk comes back as the same voter. */
        LOST_DISK_KEEPS_VOTE,
        /** An operation is answered before anything is committed. */
        ANSWER_BEFORE_AGREEMENT
    }

    /**
     * The result of one simulated run.
     *
     * @param broken violated rules, each with the evidence
     * @param answered number of operations answered
     * @param agreed number of committed log indexes
     * @param kinds kinds of faults that were injected
     */
    record Outcome(List<String> broken, int answered, int agreed, Set<String> kinds)
            implements ConsensusFleetOptions.Outcome {}

    /** A submitted operation and its result. */
    private record Answer(String operation, long askedUs, long answeredUs, long index) {}

    /** The log's content: each operation once, with its log index. */
    private final class OperationLog implements StateMachine {
        private final TreeMap<Long, String> all = new TreeMap<>();
        private final Map<String, Long> places = new HashMap<>();

        @Override
        public Object apply(long index, Object operation) {
            String text = (String) operation;
            String before = agreed.putIfAbsent(index, text);
            if (before != null && !before.equals(text)) {
                fleet.broken.add("log index " + index + " holds both " + before + " and " + text);
            }
            // a retry of an operation that is already committed: it keeps its index
            Long place = places.putIfAbsent(text, index);
            if (place == null) {
                all.put(index, text);
            }
            return place == null ? index : place;
        }

        @Override
        public Object answerWithoutReplication(Object operation) {
            return null;
        }

        @Override
        public void clear() {
            all.clear();
            places.clear();
        }

        @Override
        public List<Object> snapshot() {
            List<Object> parts = new ArrayList<>();
            for (int i = 0; i < PARTS; i++) {
                parts.add(new ArrayList<>());
            }
            int i = 0;
            for (Map.Entry<Long, String> e : all.entrySet()) {
                @SuppressWarnings("unchecked") // the lists were created by this class
                List<Object> part = (List<Object>) parts.get(i++ % PARTS);
                part.add(Arrays.asList(e.getKey(), e.getValue()));
            }
            return parts;
        }

        @Override
        public void restore(List<Object> parts) {
            clear();
            for (Object part : parts) {
                for (Object each : (List<?>) part) {
                    List<?> pair = (List<?>) each;
                    all.put(((Number) pair.get(0)).longValue(), (String) pair.get(1));
                    places.put((String) pair.get(1), ((Number) pair.get(0)).longValue());
                }
            }
        }
    }

    private final ConsensusFleet fleet;
    private final Set<Planted> planted;
    private final TreeMap<Long, String> agreed = new TreeMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private int asked;

    private ConsensusSimulation(long seed, int votes, int others, Set<Planted> planted) {
        this.planted = planted;
        fleet =
                new ConsensusFleet(
                        seed,
                        votes,
                        others,
                        0,
                        this,
                        planted.contains(Planted.FORGETFUL_DISK),
                        planted.contains(Planted.LOST_DISK_KEEPS_VOTE));
    }

    /**
     * A simulation with the given numbers of voters and other clients; faults end halfway through.
     */
    static Outcome play(long seed, int votes, int others, double seconds, Set<Planted> planted) {
        ConsensusSimulation trial = new ConsensusSimulation(seed, votes, others, planted);
        trial.fleet.play(seconds);
        trial.check((long) (seconds * 1e6));
        return new Outcome(
                trial.fleet.broken, trial.answers.size(), trial.agreed.size(), trial.fleet.kinds);
    }

    @Override
    public StateMachine stateMachine(ConsensusFleet.Instance instance) {
        return new OperationLog();
    }

    /** Each process submits operations continuously, with names of its own. */
    @Override
    public void started(ConsensusFleet.Instance instance) {
        instance.after(
                ASK_EVERY_US,
                () -> {
                    String operation = instance.name + "-" + asked++;
                    long atUs = instance.nowUs();
                    instance.group
                            .propose(operation, WITHIN_US)
                            .whenComplete(
                                    (index, failed) -> {
                                        if (failed == null) {
                                            answers.add(
                                                    new Answer(
                                                            operation,
                                                            atUs,
                                                            instance.nowUs(),
                                                            ((Number) index).longValue()));
                                        }
                                    });
                    if (planted.contains(Planted.ANSWER_BEFORE_AGREEMENT) && asked % 7 == 0) {
                        answers.add(new Answer(operation, atUs, atUs, Long.MAX_VALUE - asked));
                    }
                    started(instance);
                });
    }

    @Override
    public void shuttingDown(ConsensusFleet.Instance instance, Runnable then) {
        instance.group.stepDown().whenComplete((done, why) -> then.run());
    }

    // ---- checking ----

    private void check(long endUs) {
        for (Answer each : answers) {
            String there = agreed.get(each.index);
            if (!each.operation.equals(there)) {
                fleet.broken.add(
                        each.operation
                                + " was answered with log index "
                                + each.index
                                + ", which holds "
                                + (there == null ? "nothing" : there)
                                + " instead");
            }
        }
        // an operation answered before another was submitted must have the lower index
        List<Answer> byAnswer = new ArrayList<>(answers);
        byAnswer.sort((a, b) -> Long.compare(a.answeredUs, b.answeredUs));
        List<Answer> byAsked = new ArrayList<>(answers);
        byAsked.sort((a, b) -> Long.compare(a.askedUs, b.askedUs));
        long highest = 0;
        int next = 0;
        for (Answer each : byAsked) {
            while (next < byAnswer.size() && byAnswer.get(next).answeredUs < each.askedUs) {
                highest = Math.max(highest, byAnswer.get(next++).index);
            }
            if (each.index < highest) {
                fleet.broken.add(
                        each.operation
                                + " was submitted after log index "
                                + highest
                                + " had been answered, but has index "
                                + each.index);
            }
        }
        for (String name : fleet.names) {
            ConsensusFleet.Instance instance = fleet.instances.get(name);
            if (fleet.voters.contains(name) && !instance.group.isVoting()) {
                fleet.broken.add(name + " is not a voter at the end");
            }
            if (answers.stream()
                    .noneMatch(
                            a ->
                                    a.operation.startsWith(name + "-")
                                            && a.answeredUs > endUs - 3_000_000)) {
                fleet.broken.add(name + " received no answer in the last 3 s");
            }
            for (Map.Entry<Long, String> e :
                    ((OperationLog) instance.stateMachine).all.entrySet()) {
                if (!e.getValue().equals(agreed.get(e.getKey()))) {
                    fleet.broken.add(
                            name
                                    + " has "
                                    + e.getValue()
                                    + " at log index "
                                    + e.getKey()
                                    + ", but the committed entry is "
                                    + agreed.get(e.getKey()));
                }
            }
        }
    }
}
