package holdproxy.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules (BRIEF and PROTOCOL-pebbletide.md), judged on the town's own record after a run. Each
 * returns what it found broken, in the order of the record; none shares code with the proxy.
 */
final class Auditors {
    /** The figures of the rules; each time limit on sockets is 50 ms longer. */
    static final int ATTEMPTS = 3;
    private static final long SLACK_US = 50_000;
    private static final long DRAIN_US = 500_000 + SLACK_US;
    private static final long REPEAT_US = 2_500_000 + SLACK_US;

    private Auditors() {
    }

    /** All of them. */
    static List<String> broken(List<Event> events) {
        List<String> found = new ArrayList<>();
        found.addAll(oneAnswer(events));
        found.addAll(honestValues(events));
        found.addAll(attempts(events));
        found.addAll(repeats(events));
        found.addAll(drains(events));
        found.addAll(harmlessRefusals(events));
        return found;
    }

    /** A request that was taken gets exactly one answer before its client leaves, and no one gets another. */
    static List<String> oneAnswer(List<Event> events) {
        List<String> found = new ArrayList<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ANSWERED && e.id().isEmpty()) {
                found.add("an answer that nobody waits for: " + e);
            } else if (e.kind() == Event.Kind.LEFT) {
                found.add("no answer while the client waited: " + e);
            } else if (e.kind() == Event.Kind.CUT) {
                found.add("the connection ended without an answer: " + e);
            }
        }
        return found;
    }

    /** What is served was made for this very request by a node or the register. */
    static List<String> honestValues(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Set<String>> made = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.RAN) {
                made.computeIfAbsent(e.id(), id -> new HashSet<>()).add(e.detail());
            } else if (e.kind() == Event.Kind.ANSWERED && !e.id().isEmpty()) {
                String[] words = e.detail().split(" ");
                boolean value = words[0].equals("VA");
                if (value || words[0].equals("HD")) {
                    String served = value ? words[words.length - 1] : words[words.length - 1].substring(1);
                    boolean names = List.of(words).contains("O" + e.id());
                    if (!names || !made.getOrDefault(e.id(), Set.of()).contains(served)) {
                        found.add("served with what no node made for it: " + e);
                    }
                }
            }
        }
        return found;
    }

    /** No request is sent more often than allowed. */
    static List<String> attempts(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Integer> sent = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ARRIVED && sent.merge(e.id(), 1, Integer::sum) > ATTEMPTS) {
                found.add("too many attempts: " + e);
            }
        }
        return found;
    }

    /** An enrolment runs once at most; a renewal's repeats come within the time in which they are dropped. */
    static List<String> repeats(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, String> classOf = new HashMap<>();
        Map<String, Long> firstAt = new HashMap<>();
        Set<String> applied = new HashSet<>();
        for (Event e : events) {
            switch (e.kind()) {
                case ASKED -> classOf.put(e.id(), e.detail().split(" ")[0]);
                case ARRIVED -> {
                    long first = firstAt.getOrDefault(e.id(), e.us());
                    firstAt.put(e.id(), first);
                    if ("renewal".equals(classOf.get(e.id())) && e.us() - first > REPEAT_US) {
                        found.add("a renewal repeated too late: " + e);
                    }
                }
                case APPLIED -> {
                    if (!applied.add(e.detail())) {
                        found.add("a write has run twice: " + e);
                    }
                }
                default -> { }
            }
        }
        return found;
    }

    /** Nothing new goes to a node later than the grace after its proxy was told that it drains or is gone. */
    static List<String> drains(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Long> toldAt = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.TOLD) {
                String what = e.where() + " " + e.id();
                if (e.detail().equals("SERVING")) {
                    toldAt.remove(what);
                } else {
                    toldAt.putIfAbsent(what, e.us());
                }
            } else if (e.kind() == Event.Kind.ARRIVED) {
                Long told = toldAt.get(e.detail().split(" ")[1] + " " + e.where());
                if (told != null && e.us() - told > DRAIN_US) {
                    found.add("sent " + (e.us() - told) / 1000 + " ms after the proxy was told: " + e);
                }
            }
        }
        return found;
    }

    /**
     * "Busy" promises that trying again is harmless: an enrolment so answered never runs, not later
     * either.
     */
    static List<String> harmlessRefusals(List<Event> events) {
        List<String> found = new ArrayList<>();
        Set<String> enrolments = new HashSet<>();
        Set<String> ran = new HashSet<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ASKED && e.detail().startsWith("enrolment ")) {
                enrolments.add(e.id());
            } else if (e.kind() == Event.Kind.APPLIED) {
                ran.add(e.id());
            }
        }
        for (Event e : events) {
            boolean refused = e.kind() == Event.Kind.ANSWERED && e.detail().startsWith("SERVER_ERROR busy");
            if (refused && enrolments.contains(e.id()) && ran.contains(e.id())) {
                found.add("refused though it ran: " + e);
            }
        }
        return found;
    }
}
