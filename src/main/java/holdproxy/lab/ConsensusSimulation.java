package holdproxy.lab;

import holdproxy.consensus.StateMachine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A consensus group in virtual time: voters and others that ask, faults drawn by a seed in the first part,
 * none in the second. One history is judged: what was agreed at each place of the log, what was answered, and
 * when.
 */
final class ConsensusSimulation implements ConsensusFleet.Purpose {
    private static final long ASK_EVERY_US = 250_000;
    private static final long WITHIN_US = 5_000_000;
    private static final int PARTS = 3;

    /** A fault of the program's, to see that the judge finds it. */
    enum Planted {
        /** What is made safe is not. */
        FORGETFUL_DISK,
        /** Who lost its disk comes back as the voter that it was. */
        LOST_DISK_KEEPS_VOTE,
        /** An answer is given before anything is agreed. */
        ANSWER_BEFORE_AGREEMENT
    }

    /**
     * How a trial went.
     *
     * @param broken rules, by what shows it
     * @param answered operations
     * @param agreed places of the log
     * @param kinds of faults that were caused
     */
    record Outcome(List<String> broken, int answered, int agreed, Set<String> kinds)
            implements VoterOptions.Outcome {}

    /** An operation that somebody asked for, and what came of it. */
    private record Answer(String operation, long askedUs, long answeredUs, long index) {}

    /** The log's content: each operation once, with its place. */
    private final class Sequence implements StateMachine {
        private final TreeMap<Long, String> all = new TreeMap<>();
        private final Map<String, Long> places = new HashMap<>();

        @Override
        public Object apply(long index, Object operation) {
            String text = (String) operation;
            String before = agreed.putIfAbsent(index, text);
            if (before != null && !before.equals(text)) {
                fleet.broken.add("at place " + index + " there are " + before + " and " + text);
            }
            // asked for again though it was agreed: the place that it has
            Long place = places.putIfAbsent(text, index);
            if (place == null) {
                all.put(index, text);
            }
            return place == null ? index : place;
        }

        @Override
        public Object atOnce(Object operation) {
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
                @SuppressWarnings("unchecked") // the lists are those made above
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

    /** A simulation with so many voters, and so many others that ask; faults end at half of its time. */
    static Outcome play(long seed, int votes, int others, double seconds, Set<Planted> planted) {
        ConsensusSimulation trial = new ConsensusSimulation(seed, votes, others, planted);
        trial.fleet.play(seconds);
        trial.judge((long) (seconds * 1e6));
        return new Outcome(
                trial.fleet.broken, trial.answers.size(), trial.agreed.size(), trial.fleet.kinds);
    }

    @Override
    public StateMachine stateMachine(ConsensusFleet.Instance instance) {
        return new Sequence();
    }

    /** Each process asks for operations all the time, each of its own. */
    @Override
    public void begun(ConsensusFleet.Instance instance) {
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
                    begun(instance);
                });
    }

    @Override
    public void ending(ConsensusFleet.Instance instance, Runnable then) {
        instance.group.stepDown().whenComplete((done, why) -> then.run());
    }

    // ---- judging ----

    private void judge(long endUs) {
        for (Answer each : answers) {
            String there = agreed.get(each.index);
            if (!each.operation.equals(there)) {
                fleet.broken.add(
                        each.operation
                                + " was answered with place "
                                + each.index
                                + ", where "
                                + (there == null ? "nothing" : there)
                                + " is");
            }
        }
        // what was answered before another was asked for has the earlier place
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
                                + " was asked for when place "
                                + highest
                                + " was answered, and has "
                                + each.index);
            }
        }
        for (String name : fleet.names) {
            ConsensusFleet.Instance instance = fleet.instances.get(name);
            if (fleet.voters.contains(name) && !instance.group.votes()) {
                fleet.broken.add(name + " does not vote at the end");
            }
            if (answers.stream()
                    .noneMatch(
                            a ->
                                    a.operation.startsWith(name + "-")
                                            && a.answeredUs > endUs - 3_000_000)) {
                fleet.broken.add(name + " had no answer in the last 3 s");
            }
            for (Map.Entry<Long, String> e : ((Sequence) instance.stateMachine).all.entrySet()) {
                if (!e.getValue().equals(agreed.get(e.getKey()))) {
                    fleet.broken.add(
                            name
                                    + " has "
                                    + e.getValue()
                                    + " at place "
                                    + e.getKey()
                                    + ", agreed is "
                                    + agreed.get(e.getKey()));
                }
            }
        }
    }
}
