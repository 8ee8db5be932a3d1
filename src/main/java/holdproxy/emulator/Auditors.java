package holdproxy.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Checks the event record of an emulated site against the rules of BRIEF and PROTOCOL-pebbletide.md after a
 * run. Each check returns its violations in the order of the record; none shares code with the proxy.
 */
public final class Auditors {
    /** Attempts per request that the rules allow unless a proxy's settings say otherwise. */
    public static final int MAX_ATTEMPTS = 3;

    /** Added to each time limit of the rules, to allow for delays on sockets. */
    private static final long SLACK_US = 50_000;

    private static final long DRAIN_US = 500_000 + SLACK_US;
    private static final long REPEAT_US = 2_500_000 + SLACK_US;
    private static final double OVERLOAD_MULTIPLE = 4;
    private static final long OVERLOAD_WINDOW_US = 2_000_000;

    /** Overload is a violation only if proxies that knew of the node's start sent more than this part. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private static final Map<String, Function<List<Event>, List<String>>> RULES =
            new LinkedHashMap<>();
    private static final Map<String, Function<List<Event>, List<String>>> UNTIMED_RULES =
            new LinkedHashMap<>();

    static {
        RULES.put("one answer", Auditors::oneAnswer);
        RULES.put("honest values", Auditors::valueIntegrity);
        RULES.put("attempts", Auditors::attempts);
        RULES.put("repeats", Auditors::repeatedWrites);
        RULES.put("drains", Auditors::drains);
        RULES.put("left out", Auditors::excludedNodes);
        RULES.put("figures", Auditors::reportedCounters);
        RULES.put("harmless refusals", Auditors::refusedNeverApplied);
        RULES.put("cold nodes", Auditors::coldNodeBudgets);
        UNTIMED_RULES.put("unasked answers", Auditors::unsolicitedAnswers);
        UNTIMED_RULES.put("honest values", Auditors::valueIntegrity);
        UNTIMED_RULES.put("attempts", Auditors::attempts);
        UNTIMED_RULES.put("once", Auditors::appliedOnce);
        UNTIMED_RULES.put("harmless refusals", Auditors::refusedNeverApplied);
    }

    /** A violation: the name of the rule and the event that shows it. */
    public record Violation(String rule, String evidence) {
        @Override
        public String toString() {
            return rule + ": " + evidence;
        }
    }

    private Auditors() {}

    /** The violations of all rules. */
    public static List<Violation> violations(List<Event> events) {
        return check(RULES, events);
    }

    /** The violations of those rules that set no time limit, for runs in real time. */
    public static List<Violation> untimedViolations(List<Event> events) {
        return check(UNTIMED_RULES, events);
    }

    private static List<Violation> check(
            Map<String, Function<List<Event>, List<String>>> rules, List<Event> events) {
        List<Violation> found = new ArrayList<>();
        rules.forEach(
                (rule, auditor) ->
                        auditor.apply(events).forEach(w -> found.add(new Violation(rule, w))));
        return found;
    }

    /** Clients receive no answer without an open request; a missing answer is no violation here. */
    static List<String> unsolicitedAnswers(List<Event> events) {
        return events.stream()
                .filter(e -> e.kind() == Event.Kind.ANSWERED && e.id().isEmpty())
                .map(e -> "answer without an open request: " + e)
                .toList();
    }

    /**
     * A request that a proxy has read gets exactly one answer before its client gives up, and no client
     * receives an answer without an open request. Requests that were open at a proxy while an injected fault
     * killed or suspended it, or while a zone fault lost or delayed messages between it and its clients, are
     * excused.
     */
    public static List<String> oneAnswer(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Long> sentAt = new HashMap<>();
        Map<String, Long> suspendedUntil = new HashMap<>();
        Map<String, Long> killedAt = new HashMap<>();
        Map<String, Long> lostAt = new HashMap<>();
        Set<String> taken = new HashSet<>();
        for (Event e : events) {
            switch (e.kind()) {
                case FAULT -> {
                    if (e.detail().startsWith("held ")) {
                        suspendedUntil.put(
                                e.host(),
                                e.us() + Long.parseLong(e.detail().substring(5)) + SLACK_US);
                    } else if (e.detail().equals("killed")) {
                        killedAt.put(e.host(), e.us());
                    }
                }
                case LOST -> {
                    if (e.word(1).equals("true")) {
                        lostAt.put(e.host(), e.us());
                    }
                }
                case ASKED -> sentAt.put(e.id(), e.us());
                case TAKEN -> taken.add(e.id());
                case ANSWERED -> {
                    if (e.id().isEmpty()) {
                        found.add("answer without an open request: " + e);
                    }
                }
                case LEFT, CUT -> {
                    long since = sentAt.get(e.id());
                    boolean excused =
                            suspendedUntil.getOrDefault(e.host(), -1L) >= since
                                    || killedAt.getOrDefault(e.host(), -1L) >= since
                                    || lostAt.getOrDefault(e.host(), -1L) >= since
                                    || e.kind() == Event.Kind.CUT && !taken.contains(e.id());
                    if (!excused) {
                        found.add(
                                e.kind() == Event.Kind.LEFT
                                        ? "no answer before the client gave up: " + e
                                        : "connection closed without an answer: " + e);
                    }
                }
                default -> {}
            }
        }
        return found;
    }

    /** A value or receipt that is served was produced for this request by a node or the origin. */
    public static List<String> valueIntegrity(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Set<String>> produced = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.RAN) {
                produced.computeIfAbsent(e.id(), id -> new HashSet<>()).add(e.detail());
            } else if (e.kind() == Event.Kind.ANSWERED && !e.id().isEmpty()) {
                String answer = e.detail();
                boolean value = answer.startsWith("VA ");
                if (value || answer.startsWith("HD ")) {
                    // a receipt is preceded by the letter of its flag
                    String served = answer.substring(answer.lastIndexOf(' ') + (value ? 1 : 2));
                    boolean names = answer.contains(" O" + e.id() + " ");
                    if (!names || !produced.getOrDefault(e.id(), Set.of()).contains(served)) {
                        found.add("served value was not produced for this request: " + e);
                    }
                }
            }
        }
        return found;
    }

    /** No request is sent to nodes more often than the proxy's settings allowed when it read the request. */
    public static List<String> attempts(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Integer> sent = new HashMap<>();
        Map<String, Integer> allowedAt = new HashMap<>();
        Map<String, Integer> allowed = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.RETUNED) {
                allowedAt.put(e.host(), Integer.parseInt(e.detail()));
            } else if (e.kind() == Event.Kind.TAKEN) {
                allowed.put(e.id(), allowedAt.getOrDefault(e.host(), MAX_ATTEMPTS));
            } else if (e.kind() == Event.Kind.ARRIVED
                    && sent.merge(e.id(), 1, Integer::sum)
                            > allowed.getOrDefault(e.id(), MAX_ATTEMPTS)) {
                found.add("more attempts than allowed: " + e);
            }
        }
        return found;
    }

    /** A node that operators left out gets no command after the drain grace time, until it is used again. */
    public static List<String> excludedNodes(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Long> outSince = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.OUT && e.detail().equals("out")) {
                outSince.putIfAbsent(e.host() + " " + e.id(), e.us());
            } else if (e.kind() == Event.Kind.OUT) {
                outSince.remove(e.host() + " " + e.id());
            } else if (proxyEnded(e)) {
                // a restarted proxy learns at its start which nodes are left out
                outSince.keySet().removeIf(key -> key.startsWith(e.host() + " "));
            } else if (e.kind() == Event.Kind.ARRIVED) {
                Long since = outSince.get(e.word(1) + " " + e.host());
                if (since != null && e.us() - since > DRAIN_US) {
                    found.add(
                            "sent "
                                    + (e.us() - since) / 1000
                                    + " ms after the node was left out: "
                                    + e);
                }
            }
        }
        return found;
    }

    /**
     * The counters that a proxy reports at the end agree with what its clients and nodes saw since its start.
     * Abandoned requests may be counted or not, and attempts that were sent may be lost on the way to a node.
     */
    public static List<String> reportedCounters(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, ObservedCounts> seen = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.FAULT && e.detail().equals("started")) {
                seen.put(e.host(), new ObservedCounts());
            } else if (e.kind() == Event.Kind.ARRIVED && seen.containsKey(e.word(1))) {
                seen.get(e.word(1)).arrived++;
            } else if (seen.containsKey(e.host())) {
                seen.get(e.host()).add(e, found);
            }
        }
        return found;
    }

    /** What clients and nodes saw of a proxy since its last start. */
    private static final class ObservedCounts {
        private long taken;
        private long served;
        private long busy;
        private long failed;
        private long abandoned;
        private long arrived;

        void add(Event e, List<String> found) {
            switch (e.kind()) {
                case TAKEN -> taken++;
                case LEFT, CUT -> abandoned++;
                case ANSWERED -> {
                    if (e.detail().startsWith("VA ") || e.detail().startsWith("HD ")) {
                        served++;
                    } else if (e.detail().startsWith(MetaProtocolDecoder.BUSY)) {
                        busy++;
                    } else {
                        failed++;
                    }
                }
                case FIGURES -> {
                    long ok = Long.parseLong(e.word(0));
                    long shed = Long.parseLong(e.word(1));
                    long errors = Long.parseLong(e.word(2));
                    boolean right =
                            matches(ok, served)
                                    && matches(shed, busy)
                                    && matches(errors, failed)
                                    && matches(
                                            taken, ok + shed + errors + Long.parseLong(e.word(4)))
                                    && Long.parseLong(e.word(3)) >= arrived;
                    if (!right) {
                        found.add(
                                "taken "
                                        + taken
                                        + ", served "
                                        + served
                                        + ", busy "
                                        + busy
                                        + ", failed "
                                        + failed
                                        + ", abandoned "
                                        + abandoned
                                        + ", arrived "
                                        + arrived
                                        + ": "
                                        + e);
                    }
                }
                default -> {}
            }
        }

        private boolean matches(long more, long less) {
            return more >= less && more - less <= abandoned;
        }
    }

    /**
     * An enrolment runs at most once; a renewal is repeated only within the time for which repeats are
     * dropped.
     */
    public static List<String> repeatedWrites(List<Event> events) {
        List<String> found = appliedOnce(events);
        Map<String, String> classOf = new HashMap<>();
        Map<String, Long> firstAt = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ASKED) {
                classOf.put(e.id(), e.word(0));
            } else if (e.kind() == Event.Kind.ARRIVED) {
                long first = firstAt.getOrDefault(e.id(), e.us());
                firstAt.put(e.id(), first);
                if ("renewal".equals(classOf.get(e.id())) && e.us() - first > REPEAT_US) {
                    found.add("renewal repeated after the repeat window: " + e);
                }
            }
        }
        return found;
    }

    /** No request to write is applied twice, and an enrolment not for another try of the client either. */
    static List<String> appliedOnce(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, String> classOf = new HashMap<>();
        Set<String> applied = new HashSet<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.ASKED) {
                classOf.put(e.id(), e.word(0));
            } else if (e.kind() == Event.Kind.APPLIED) {
                // a later try of a client may apply a renewal's key again, but never an enrolment's
                boolean once = "enrolment".equals(classOf.get(e.id()));
                if (!applied.add(once ? e.detail() : e.id())) {
                    found.add("write applied twice: " + e);
                }
            }
        }
        return found;
    }

    /** A node gets no command later than the grace time after the proxy learns that it drains or is gone. */
    public static List<String> drains(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Map<String, Long>> notifiedAt = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.TOLD) {
                Map<String, Long> nodes =
                        notifiedAt.computeIfAbsent(e.host(), proxy -> new HashMap<>());
                if (e.detail().startsWith("SERVING")) {
                    nodes.remove(e.id());
                } else {
                    nodes.putIfAbsent(e.id(), e.us());
                }
            } else if (proxyEnded(e)) {
                notifiedAt.remove(e.host()); // a restarted proxy gets a new list
            } else if (e.kind() == Event.Kind.ARRIVED) {
                Long since = notifiedAt.getOrDefault(e.word(1), Map.of()).get(e.host());
                if (since != null && e.us() - since > DRAIN_US) {
                    found.add(
                            "sent "
                                    + (e.us() - since) / 1000
                                    + " ms after the proxy learned of the drain or removal: "
                                    + e);
                }
            }
        }
        return found;
    }

    private static boolean proxyEnded(Event e) {
        return e.kind() == Event.Kind.FAULT
                && (e.detail().equals("killed") || e.detail().equals("ended"));
    }

    /**
     * "Busy" states that the request may safely be sent again: an enrolment that got this answer runs at no
     * time.
     */
    public static List<String> refusedNeverApplied(List<Event> events) {
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
            boolean refused =
                    e.kind() == Event.Kind.ANSWERED && e.detail().startsWith("SERVER_ERROR busy");
            if (refused && enrolments.contains(e.id()) && ran.contains(e.id())) {
                found.add("answered busy but was applied: " + e);
            }
        }
        return found;
    }

    /** A started node and the work that it was sent within the last {@code OVERLOAD_WINDOW_US}. */
    private static final class StartedNode {
        private record Work(long us, double workUs, boolean informed) {}

        private final long upUs;
        private final double startSpeed;
        private final double fullSpeed;
        private final long coldUs;
        private final ArrayDeque<Work> window = new ArrayDeque<>();
        private double totalUs;
        private double informedUs;
        private boolean reported;

        StartedNode(Event up) {
            String[] figures = up.detail().split(" ");
            upUs = up.us();
            startSpeed = Double.parseDouble(figures[0]);
            fullSpeed = Double.parseDouble(figures[1]);
            coldUs = Long.parseLong(figures[2]);
        }

        boolean warmAt(long us) {
            return startSpeed == fullSpeed || us - upUs >= coldUs;
        }

        /** Adds work; whether it exceeds the budget, with enough from proxies that knew of the start. */
        boolean exceedsBudget(long us, double workUs, boolean informed) {
            window.add(new Work(us, workUs, informed));
            totalUs += workUs;
            informedUs += informed ? workUs : 0;
            while (window.peek().us <= us - OVERLOAD_WINDOW_US) {
                Work past = window.poll();
                totalUs -= past.workUs;
                informedUs -= past.informed ? past.workUs : 0;
            }
            double now = startSpeed + (fullSpeed - startSpeed) * (us - upUs) / coldUs;
            return totalUs > OVERLOAD_MULTIPLE * now * OVERLOAD_WINDOW_US
                    && informedUs > MIN_INFORMED_SHARE * totalUs;
        }
    }

    /** The proxies together send no cold node more than its budget; one violation per start of a node. */
    public static List<String> coldNodeBudgets(List<Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, StartedNode> started = new HashMap<>();
        Map<String, Set<String>> informed = new HashMap<>();
        for (Event e : events) {
            if (e.kind() == Event.Kind.UP) {
                started.put(e.host(), new StartedNode(e));
                informed.put(e.host(), new HashSet<>());
            } else if (e.kind() == Event.Kind.TOLD && e.detail().startsWith("SERVING")) {
                informed.getOrDefault(e.id(), new HashSet<>()).add(e.host());
            } else if (e.kind() == Event.Kind.ARRIVED) {
                StartedNode node = started.get(e.host());
                if (node.warmAt(e.us())) {
                    continue;
                }
                boolean known = informed.get(e.host()).contains(e.word(1));
                if (!node.reported
                        && node.exceedsBudget(e.us(), Double.parseDouble(e.word(2)), known)) {
                    node.reported = true;
                    found.add("cold node was sent more than its budget: " + e);
                }
            }
        }
        return found;
    }
}
