package holdproxy.membership;

import holdproxy.membership.Member.State;
import holdproxy.membership.Message.Kind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Which processes of the fleet are alive, as seen by one process. This class is the protocol alone: time,
 * randomness and transport are passed in. It is used by one thread, with a time that never goes back.
 *
 * <p>The protocol is SWIM with the extensions of Lifeguard and one more: before a suspect is declared dead,
 * the suspect and other processes are probed once more, and the others must answer while the suspect does
 * not. So a process that is cut off from the network cannot declare the others dead.
 *
 * <p>Bounded: {@link #MAX_MEMBERS} processes, {@link Settings#updatesPerMessage} updates a message.
 */
public final class Membership {
    public static final int MAX_MEMBERS = 1000;
    private static final int MEMBERS_PER_VIEW = 64;
    private static final int MAX_RELAYED_PINGS = 256;
    private static final int MAX_HEALTH_SCORE = 8;
    private static final long JOIN_RETRY_US = 1_000_000;
    private static final long RECONNECT_INTERVAL_US = 5_000_000;
    private static final long VIEW_INTERVAL_US = 5_000_000;
    private static final long SETTLED_US = 2_000_000;
    private static final long GONE_RETENTION_US = 600_000_000;

    /** A safeguard that simulations can switch off, to show that it is needed. */
    public enum Safeguard {
        /** A process that no other process answers declares none suspect or dead. */
        LAST_QUESTION,
        /** A process that is reported suspect or dead refutes it. */
        REFUTATION
    }

    /** Effects of the protocol. */
    public interface Output {
        /** Sends to a process; {@code name} is null if the process at the address is not known yet. */
        void send(String name, String address, Message message);

        /** What is known of a process has changed. */
        void changed(MemberChange change);

        /** A later generation of this name runs elsewhere; this process has stopped taking part. */
        void superseded(Member by);
    }

    /**
     * Parameters of the protocol.
     *
     * @param periodUs interval between probes, in microseconds; each probes one process
     * @param timeoutUs time without an answer after which other processes are asked to probe the target
     * @param helpers number of processes asked to do so
     * @param suspicionPeriods shortest suspicion timeout in periods, times the decimal logarithm of the fleet
     * @param suspicionSpread ratio of the longest suspicion timeout (one process suspects) to the shortest
     * @param voices number of further suspecting processes that bring the timeout down to the shortest
     * @param updatesPerMessage gossiped updates in a message
     * @param gossipRounds how often an update is sent, times the binary logarithm of the fleet
     */
    public record Settings(
            long periodUs,
            long timeoutUs,
            int helpers,
            double suspicionPeriods,
            double suspicionSpread,
            int voices,
            int updatesPerMessage,
            int gossipRounds) {
        public static final Settings DEFAULT = new Settings(500_000, 200_000, 3, 4, 4, 3, 8, 3);
    }

    /** What is known of another process. */
    private static final class Entry {
        Member member;

        /** Processes that could not reach it themselves. */
        final Set<String> suspectedBy = new LinkedHashSet<>();

        long suspectedUs;
        long heardUs = Long.MIN_VALUE;
        long goneUs;

        /** Last probe before it is declared dead: sequence number (0: none), time, others answered. */
        long finalProbeSeq;

        long finalProbeUs;
        boolean helperAnswered;

        Entry(Member member) {
            this.member = member;
        }
    }

    /** A ping sent on behalf of another process. */
    private record RelayedPing(String requester, long requesterSeq, String target, long nackUs) {}

    private final Settings settings;
    private final List<String> seeds;
    private final Random random;
    private final Output out;
    private final Set<Safeguard> safeguards;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Gossip gossip = new Gossip();
    private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private Member self;
    private boolean joined;
    private boolean stopped;
    private int healthScore;
    private long seq;

    private String probed;
    private long probeSeq;
    private long probeStartUs;
    private long indirectUs;
    private long probeEndUs;
    private boolean answered;
    private boolean indirectSent;
    private int helpersAsked;
    private int nacks;

    private long joinUs;
    private long reconnectUs;
    private long viewRequestedUs = Long.MIN_VALUE / 2;
    private long changedUs;
    private long lastHeardUs = Long.MIN_VALUE / 2;
    private long dueUs;
    private long othersDigest;

    /**
     * Creates the membership of a process that starts now.
     *
     * @param generation higher than in any earlier start, as far as the process can tell
     * @param seeds addresses of processes to join through; its own may be among them
     */
    public Membership(
            Settings settings,
            String name,
            String address,
            long generation,
            List<String> seeds,
            Random random,
            long nowUs,
            Output out) {
        this(
                settings,
                name,
                address,
                generation,
                seeds,
                random,
                nowUs,
                out,
                EnumSet.allOf(Safeguard.class));
    }

    /** For simulations: only the given safeguards are in effect. */
    public Membership(
            Settings settings,
            String name,
            String address,
            long generation,
            List<String> seeds,
            Random random,
            long nowUs,
            Output out,
            Set<Safeguard> safeguards) {
        this.settings = settings;
        this.seeds = seeds.stream().filter(s -> !s.equals(address)).toList();
        this.random = random;
        this.out = out;
        this.safeguards = safeguards;
        self = new Member(name, address, generation, 0, State.ALIVE, name);
        joinUs = nowUs;
        reconnectUs = nowUs + RECONNECT_INTERVAL_US;
        probeEndUs = nowUs + random.nextInt((int) settings.periodUs);
        dueUs = nowUs;
        changedUs = nowUs;
    }

    /** This process, as it announces itself. */
    public Member self() {
        return self;
    }

    /** All known processes but this one, sorted by name. */
    public Collection<Member> others() {
        return entries.values().stream().map(e -> e.member).toList();
    }

    /** The process of this name; null if it is unknown. */
    public Member other(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.member;
    }

    /** When {@link #tick} has to be called next; {@link Long#MAX_VALUE}: never again. */
    public long dueUs() {
        return stopped ? Long.MAX_VALUE : dueUs;
    }

    // ---- time ----

    /** Runs what is due; to be called at {@link #dueUs} or as soon as possible after it. */
    public void tick(long nowUs) {
        if (stopped) {
            return;
        }
        joinIfDue(nowUs);
        probeIfDue(nowUs);
        sendDueNacks(nowUs);
        checkSuspicions(nowUs);
        reconnectIfDue(nowUs);
        entries.values().removeIf(e -> !e.member.live() && nowUs - e.goneUs > GONE_RETENTION_US);
        updateDueUs(nowUs);
    }

    private void updateDueUs(long nowUs) {
        long next = reconnectUs;
        if (!joined && !seeds.isEmpty()) {
            next = Math.min(next, joinUs);
        }
        next =
                Math.min(
                        next,
                        probed != null && !indirectSent && !answered ? indirectUs : probeEndUs);
        for (RelayedPing each : relayedPings.values()) {
            next = Math.min(next, each.nackUs);
        }
        for (Entry e : entries.values()) {
            if (e.member.state() == State.SUSPECT) {
                next =
                        Math.min(
                                next,
                                e.finalProbeSeq > 0
                                        ? e.finalProbeUs + finalProbeTimeoutUs()
                                        : suspicionEndsUs(e));
            }
        }
        dueUs = Math.max(nowUs + 1, next);
    }

    private void joinIfDue(long nowUs) {
        if (!joined && nowUs >= joinUs) {
            joinUs = nowUs + JOIN_RETRY_US;
            for (String seed : seeds) {
                out.send(null, seed, message(Kind.ASK_VIEW, ++seq, "", List.of()));
            }
        }
    }

    /** Contacts a dead process and an unknown seed now and then, so that a partitioned fleet merges again. */
    private void reconnectIfDue(long nowUs) {
        if (nowUs < reconnectUs) {
            return;
        }
        reconnectUs = nowUs + RECONNECT_INTERVAL_US + random.nextInt((int) RECONNECT_INTERVAL_US);
        List<Member> gone =
                entries.values().stream().map(e -> e.member).filter(m -> !m.live()).toList();
        if (!gone.isEmpty()) {
            Member one = gone.get(random.nextInt(gone.size()));
            out.send(one.name(), one.address(), message(Kind.ASK_VIEW, ++seq, "", List.of(one)));
        }
        Set<String> known = new LinkedHashSet<>();
        entries.values().stream()
                .filter(e -> e.member.live())
                .forEach(e -> known.add(e.member.address()));
        List<String> unmet = seeds.stream().filter(s -> !known.contains(s)).toList();
        if (joined && !unmet.isEmpty()) {
            out.send(
                    null,
                    unmet.get(random.nextInt(unmet.size())),
                    message(Kind.ASK_VIEW, ++seq, "", List.of()));
        }
    }

    // ---- probing ----

    private void probeIfDue(long nowUs) {
        if (probed != null && !answered && !indirectSent && nowUs >= indirectUs) {
            indirectSent = true;
            Member target = entries.get(probed).member;
            for (Member helper : randomAlive(settings.helpers, probed)) {
                helpersAsked++;
                send(helper, Kind.PING_REQUEST, probeSeq, probed);
            }
            // ping again directly: the first ping may have been lost
            send(target, Kind.PING, probeSeq, "");
        }
        if (nowUs < probeEndUs) {
            return;
        }
        if (probed != null && answered) {
            lowerHealthScore();
        } else if (probed != null) {
            probeFailed(nowUs);
        }
        startProbe(nowUs);
    }

    private void probeFailed(long nowUs) {
        Entry target = entries.get(probed);
        // NACKs show that the target is at fault, missing NACKs that this process may be
        raiseHealthScore(helpersAsked > nacks ? 1 : 0);
        boolean heard =
                lastHeardUs >= probeStartUs
                        || !safeguards.contains(Safeguard.LAST_QUESTION)
                        || liveCount() == 1;
        if (target != null && target.member.live() && heard) {
            suspect(target, target.member.withState(State.SUSPECT, self.name()), nowUs);
        }
    }

    private void startProbe(long nowUs) {
        probed = nextTarget();
        long scale = 1 + healthScore;
        probeEndUs = nowUs + settings.periodUs * scale;
        if (probed != null) {
            answered = false;
            indirectSent = false;
            helpersAsked = 0;
            nacks = 0;
            probeStartUs = nowUs;
            indirectUs = nowUs + settings.timeoutUs * scale;
            probeSeq = ++seq;
            Member target = entries.get(probed).member;
            send(target, Kind.PING, probeSeq, "");
        }
    }

    /** Round-robin in a random order drawn anew for each round, so the wait is at most two rounds. */
    private String nextTarget() {
        while (true) {
            if (probeOrder.isEmpty()) {
                entries.values().stream()
                        .map(e -> e.member)
                        .filter(Member::live)
                        .forEach(m -> probeOrder.add(m.name()));
                if (probeOrder.isEmpty()) {
                    return null;
                }
                Collections.shuffle(probeOrder, random);
            }
            String name = probeOrder.remove(probeOrder.size() - 1);
            Entry entry = entries.get(name);
            if (entry != null && entry.member.live()) {
                return name;
            }
        }
    }

    private List<Member> randomAlive(int max, String except) {
        List<Member> all = new ArrayList<>();
        entries.values().stream()
                .map(e -> e.member)
                .filter(m -> m.state() == State.ALIVE && !m.name().equals(except))
                .forEach(all::add);
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(max, all.size()));
    }

    private void raiseHealthScore(int by) {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + by);
    }

    private void lowerHealthScore() {
        healthScore = Math.max(0, healthScore - 1);
    }

    private void sendDueNacks(long nowUs) {
        relayedPings
                .values()
                .removeIf(
                        each -> {
                            boolean due = nowUs >= each.nackUs;
                            Entry asker = entries.get(each.requester);
                            if (due && asker != null) {
                                send(asker.member, Kind.NACK, each.requesterSeq, each.target);
                            }
                            return due;
                        });
    }

    // ---- suspicion ----

    private void suspect(Entry entry, Member update, long nowUs) {
        Member before = entry.member;
        if (before.state() != State.SUSPECT) {
            entry.suspectedUs = nowUs;
            entry.finalProbeSeq = 0;
            entry.suspectedBy.clear();
            setMember(entry, update);
        }
        boolean isNew =
                entry.suspectedBy.size() <= settings.voices && entry.suspectedBy.add(update.by());
        if (isNew) {
            gossip.add(update);
        }
        if (before.state() != State.SUSPECT) {
            changed(before, entry, 1, nowUs);
        }
    }

    /** When the suspicion times out: the more processes suspect independently, the sooner. */
    private long suspicionEndsUs(Entry entry) {
        double min =
                settings.suspicionPeriods
                        * settings.periodUs
                        * Math.max(1, Math.log10(liveCount() + 1));
        double max = min * settings.suspicionSpread;
        int further = Math.max(0, entry.suspectedBy.size() - 1);
        double fraction = Math.log(further + 1) / Math.log(settings.voices + 1);
        return entry.suspectedUs + (long) Math.max(min, max - (max - min) * fraction);
    }

    private void checkSuspicions(long nowUs) {
        for (Entry e : List.copyOf(entries.values())) {
            if (e.member.state() != State.SUSPECT || nowUs < suspicionEndsUs(e)) {
                continue;
            }
            boolean alone = liveCount() == 1 || !safeguards.contains(Safeguard.LAST_QUESTION);
            if (e.heardUs > e.suspectedUs) {
                // it has been heard from since it became suspect
                Member before = e.member;
                setMember(e, before.withState(State.ALIVE, before.name()));
                changed(before, e, 1, nowUs);
            } else if (alone) {
                declareDead(e, e.member.withState(State.DEAD, self.name()), nowUs);
            } else if (e.finalProbeSeq == 0) {
                startFinalProbe(e, nowUs);
            } else if (nowUs >= e.finalProbeUs + finalProbeTimeoutUs() && e.helperAnswered) {
                declareDead(e, e.member.withState(State.DEAD, self.name()), nowUs);
            } else if (nowUs >= e.finalProbeUs + finalProbeTimeoutUs()) {
                // nobody answered: this process itself may be cut off
                e.suspectedUs = nowUs;
                e.finalProbeSeq = 0;
            }
        }
    }

    /** Pings the suspect directly and through others, whose answers show that this process is not cut off. */
    private void startFinalProbe(Entry suspect, long nowUs) {
        suspect.finalProbeSeq = ++seq;
        suspect.finalProbeUs = nowUs;
        suspect.helperAnswered = false;
        send(suspect.member, Kind.PING, suspect.finalProbeSeq, "");
        for (Member helper : randomAlive(settings.helpers, suspect.member.name())) {
            send(helper, Kind.PING_REQUEST, suspect.finalProbeSeq, suspect.member.name());
        }
    }

    private long finalProbeTimeoutUs() {
        return 2 * settings.timeoutUs * (1 + healthScore);
    }

    private void declareDead(Entry entry, Member update, long nowUs) {
        Member before = entry.member;
        setMember(entry, update);
        entry.goneUs = nowUs;
        gossip.add(update);
        changed(before, entry, entry.suspectedBy.size(), nowUs);
    }

    // ---- received messages ----

    /** Handles a message. */
    public void received(long nowUs, Message message) {
        if (stopped
                || message.sender().name().equals(self.name())
                        && message.sender().generation() == self.generation()) {
            return;
        }
        if (message.sender().name().equals(self.name())) {
            handleNamesake(nowUs, message);
            return;
        }
        applyUpdate(message.sender(), nowUs);
        Entry sender = entries.get(message.sender().name());
        if (sender == null || sender.member.generation() > message.sender().generation()) {
            // the table is full, or an earlier generation still sends: tell it of the later one
            if (sender != null) {
                out.send(
                        null,
                        message.sender().address(),
                        message(Kind.VIEW, message.seq(), "", List.of(sender.member)));
            }
            return;
        }
        sender.heardUs = nowUs;
        lastHeardUs = nowUs;
        message.updates().forEach(update -> applyUpdate(update, nowUs));
        if (stopped) {
            return;
        }
        handle(nowUs, message, sender.member);
        compareDigest(nowUs, message, sender.member);
        updateDueUs(Math.min(nowUs, dueUs));
    }

    private void handle(long nowUs, Message message, Member sender) {
        switch (message.kind()) {
            case PING -> send(sender, Kind.ACK, message.seq(), "");
            case ACK -> handleAck(nowUs, message);
            case NACK -> handleNack(message);
            case PING_REQUEST -> {
                Entry target = entries.get(message.target());
                if (target != null && relayedPings.size() < MAX_RELAYED_PINGS) {
                    relayedPings.put(
                            ++seq,
                            new RelayedPing(
                                    sender.name(),
                                    message.seq(),
                                    message.target(),
                                    nowUs + settings.timeoutUs * 4 / 5));
                    send(target.member, Kind.PING, seq, "");
                }
            }
            case ASK_VIEW -> sendView(sender, message.seq());
            default -> joined = true; // VIEW: its updates have been applied by received()
        }
    }

    private void handleNack(Message message) {
        nacks += message.seq() == probeSeq ? 1 : 0;
        Entry suspect = entries.get(message.target());
        if (suspect != null && message.seq() == suspect.finalProbeSeq) {
            suspect.helperAnswered = true;
        }
    }

    private void handleAck(long nowUs, Message message) {
        RelayedPing relayed = relayedPings.remove(message.seq());
        if (relayed != null) {
            Entry asker = entries.get(relayed.requester);
            if (asker != null) {
                send(asker.member, Kind.ACK, relayed.requesterSeq, relayed.target);
            }
        } else if (message.seq() == probeSeq && probed != null) {
            answered = true;
            if (message.target().equals(probed)) {
                entries.get(probed).heardUs = nowUs; // through a helper
            }
        } else {
            Entry suspect = entries.get(message.target());
            if (suspect != null && message.seq() == suspect.finalProbeSeq) {
                suspect.heardUs = nowUs;
            }
        }
    }

    /** Asks for all members if nothing has changed for a while and the digests still differ. */
    private void compareDigest(long nowUs, Message message, Member sender) {
        if (!joined && nowUs >= joinUs && message.kind() != Kind.VIEW) {
            joinUs = nowUs + JOIN_RETRY_US;
            send(sender, Kind.ASK_VIEW, ++seq, "");
            return;
        }
        boolean settled =
                nowUs - changedUs > SETTLED_US && nowUs - viewRequestedUs > VIEW_INTERVAL_US;
        if (settled && message.kind() != Kind.VIEW && message.digest() != digest()) {
            viewRequestedUs = nowUs;
            send(sender, Kind.ASK_VIEW, ++seq, "");
        }
    }

    private void sendView(Member to, long number) {
        List<Member> all = new ArrayList<>();
        entries.values().forEach(e -> all.add(e.member));
        // the requesting process comes first: there may be a later generation of it
        int asker = all.indexOf(to);
        if (asker > 0) {
            Collections.swap(all, 0, asker);
        }
        for (int from = 0; from == 0 || from < all.size(); from += MEMBERS_PER_VIEW) {
            out.send(
                    to.name().isEmpty() ? null : to.name(),
                    to.address(),
                    message(
                            Kind.VIEW,
                            number,
                            "",
                            all.subList(from, Math.min(all.size(), from + MEMBERS_PER_VIEW))));
        }
    }

    private void applyUpdate(Member update, long nowUs) {
        if (update.name().equals(self.name())) {
            applyUpdateAboutSelf(update, nowUs);
            return;
        }
        Entry entry = entries.get(update.name());
        if (entry == null) {
            if (update.live() && entries.size() < MAX_MEMBERS) {
                entry = new Entry(update);
                othersDigest += hash(update);
                entry.suspectedUs = nowUs;
                entries.put(update.name(), entry);
                if (update.state() == State.SUSPECT) {
                    entry.suspectedBy.add(update.by());
                }
                probeOrder.add(
                        probeOrder.isEmpty() ? 0 : random.nextInt(probeOrder.size() + 1),
                        update.name());
                gossip.add(update);
                changed(null, entry, 1, nowUs);
            }
            return;
        }
        Member held = entry.member;
        if (update.sameIncarnation(held) && held.live() && update.state() == State.SUSPECT) {
            suspect(entry, update, nowUs);
        } else if (update.replaces(held)) {
            replace(entry, update, nowUs);
        }
    }

    private void replace(Entry entry, Member update, long nowUs) {
        Member before = entry.member;
        setMember(entry, update);
        entry.suspectedBy.clear();
        entry.suspectedUs = nowUs;
        entry.finalProbeSeq = 0;
        if (update.state() == State.SUSPECT) {
            entry.suspectedBy.add(update.by());
        }
        if (!update.live()) {
            entry.goneUs = nowUs;
        }
        gossip.add(update);
        boolean visible =
                before.state() != update.state()
                        || before.generation() != update.generation()
                        || !before.address().equals(update.address());
        if (visible) {
            changed(before, entry, 1, nowUs);
        }
    }

    /** An update about this process. */
    private void applyUpdateAboutSelf(Member update, long nowUs) {
        if (update.generation() > self.generation()) {
            if (joined) {
                stopped = true;
                out.superseded(update);
            } else {
                // the clock went back or the disk was lost, but this start is the later one
                self =
                        new Member(
                                self.name(),
                                self.address(),
                                update.generation() + 1,
                                0,
                                State.ALIVE,
                                self.name());
                joinUs = nowUs;
            }
        } else if (update.generation() < self.generation()) {
            gossip.add(self);
        } else if (update.state() != State.ALIVE
                && update.incarnation() >= self.incarnation()
                && self.state() == State.ALIVE
                && safeguards.contains(Safeguard.REFUTATION)) {
            self =
                    new Member(
                            self.name(),
                            self.address(),
                            self.generation(),
                            update.incarnation() + 1,
                            State.ALIVE,
                            self.name());
            raiseHealthScore(1);
            gossip.add(self);
        }
    }

    /** Another process has this name: the earlier generation stops, after sending its view to the later. */
    private void handleNamesake(long nowUs, Message message) {
        Member other = message.sender();
        if (other.generation() > self.generation()) {
            sendView(new Member("", other.address(), 0, 0, State.ALIVE, ""), message.seq());
            applyUpdateAboutSelf(other, nowUs);
        } else if (message.kind() == Kind.VIEW) {
            message.updates().forEach(update -> applyUpdate(update, nowUs));
            updateDueUs(Math.min(nowUs, dueUs));
        } else {
            out.send(null, other.address(), message(Kind.VIEW, message.seq(), "", List.of(self)));
        }
    }

    // ---- leaving and gossip ----

    /** Tells some of the other processes, which gossip it, that this process shuts down. */
    public void leave() {
        if (stopped) {
            return;
        }
        self =
                new Member(
                        self.name(),
                        self.address(),
                        self.generation(),
                        self.incarnation() + 1,
                        State.LEFT,
                        self.name());
        for (Member member : randomAlive(settings.gossipRounds * log2(), "")) {
            out.send(member.name(), member.address(), message(Kind.NACK, 0, "", List.of(self)));
        }
        stopped = true;
    }

    private void changed(Member before, Entry entry, int voices, long nowUs) {
        changedUs = nowUs;
        out.changed(new MemberChange(before, entry.member, voices));
    }

    /** Gossiped updates, and the receiver's own entry if it is not ALIVE, so that it can refute it. */
    private List<Member> updatesFor(String to) {
        List<Member> updates =
                gossip.next(to, settings.updatesPerMessage, settings.gossipRounds * log2());
        Entry entry = entries.get(to);
        if (entry != null
                && entry.member.state() != State.ALIVE
                && !updates.contains(entry.member)) {
            updates.add(entry.member);
        }
        return updates;
    }

    private void send(Member to, Kind kind, long number, String target) {
        out.send(to.name(), to.address(), message(kind, number, target, updatesFor(to.name())));
    }

    private Message message(Kind kind, long number, String target, List<Member> updates) {
        return new Message(kind, number, target, digest(), self, updates);
    }

    private int liveCount() {
        int live = 0;
        for (Entry e : entries.values()) {
            live += e.member.live() ? 1 : 0;
        }
        return live;
    }

    private int log2() {
        return 64 - Long.numberOfLeadingZeros(liveCount() + 1L);
    }

    /** Digest of the live members, independent of their order. */
    private long digest() {
        return othersDigest + hash(self);
    }

    private void setMember(Entry entry, Member update) {
        othersDigest -= entry.member.live() ? hash(entry.member) : 0;
        entry.member = update;
        othersDigest += update.live() ? hash(update) : 0;
    }

    private static long hash(Member member) {
        CRC32C crc = new CRC32C();
        crc.update(
                (member.name() + " " + member.generation() + " " + member.incarnation())
                        .getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
