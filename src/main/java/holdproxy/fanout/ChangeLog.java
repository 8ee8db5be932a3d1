package holdproxy.fanout;

import holdproxy.fanout.AppendResult.Appended;
import holdproxy.fanout.AppendResult.Reason;
import holdproxy.fanout.AppendResult.Refused;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The history of changes, a state machine that is replicated on every control machine: deterministic and
 * independent of any clock. {@link ChangeLogOperations} encodes its operations as plain values for the
 * consensus log.
 */
public final class ChangeLog {
    private final FanoutSettings.Limits limits;
    private final Set<Safeguard> safeguards;
    private final Replica replica;

    /** Positions by publication identifier, oldest first. */
    private final LinkedHashMap<String, Position> publications = new LinkedHashMap<>();

    private long highestToken;

    /** Creates an empty log that refuses publications exceeding these limits. */
    public ChangeLog(FanoutSettings.Limits limits) {
        this(limits, Safeguard.all());
    }

    /** Creates an empty log with only some of the safeguards, for the simulation. */
    public ChangeLog(FanoutSettings.Limits limits, Set<Safeguard> safeguards) {
        this.limits = limits;
        this.safeguards = Set.copyOf(safeguards);
        replica = new Replica(limits);
    }

    /** The replica that a relay on this machine serves; changes with the log. */
    public Replica replica() {
        return replica;
    }

    /** {@link Position#NONE} until the log has been given an epoch. */
    public Position position() {
        return replica.position();
    }

    /**
     * The highest fencing token of any appended publication or of any lease reported to {@link #fence}.
     */
    public long highestToken() {
        return highestToken;
    }

    /**
     * Gives an empty log its epoch; a log that has one keeps it. The epoch of a re-created log must be
     * higher than all earlier ones, for example the wall clock in seconds.
     *
     * @return the position afterwards
     */
    public Position initialize(long epoch) {
        if (epoch < 1) {
            throw new IllegalArgumentException("an epoch must be at least 1: " + epoch);
        }
        if (position().equals(Position.NONE)) {
            replica.reset(new Position(epoch, 0), new TreeMap<>());
        }
        return position();
    }

    /**
     * The publisher's lease has been granted with this token: from now on publications with lower tokens
     * are refused.
     */
    public void fence(long token) {
        highestToken = Math.max(highestToken, token);
    }

    /** Appends a publication, or returns why it is refused. */
    public AppendResult append(Publication publication) {
        Position existing = publications.get(publication.id());
        if (existing != null) {
            return new Appended(existing, true);
        }
        Refused refused = validate(publication);
        if (refused != null) {
            return refused;
        }
        highestToken = Math.max(highestToken, publication.token());
        Change change = new Change(position().next(), publication.puts(), publication.deletes());
        replica.apply(change);
        rememberPublication(publication.id(), change.position());
        return new Appended(change.position(), false);
    }

    /** Returns null if the publication is valid. */
    private Refused validate(Publication publication) {
        if (position().equals(Position.NONE)) {
            return new Refused(Reason.NOT_FOUNDED, "the log has not been given an epoch");
        }
        if (publication.token() < highestToken
                && safeguards.contains(Safeguard.FENCING_TOKEN_CHECK)) {
            return new Refused(
                    Reason.STALE_TOKEN,
                    "fencing token "
                            + publication.token()
                            + " is below "
                            + highestToken
                            + ", the highest seen");
        }
        Refused refused = PublicationCheck.check(publication, limits);
        if (refused == null
                && !replica.state().fits(publication.puts(), publication.deletes(), limits)) {
            return new Refused(
                    Reason.STATE_FULL,
                    "the state would exceed "
                            + limits.stateKeys()
                            + " keys or "
                            + limits.stateBytes()
                            + " bytes");
        }
        return refused;
    }

    private void rememberPublication(String id, Position position) {
        publications.put(id, position);
        if (publications.size() > limits.rememberedPublications()) {
            publications.remove(publications.keySet().iterator().next());
        }
    }

    // ---- snapshots of the replicated state machine ----

    /** Removes everything, including the epoch. */
    public void clear() {
        replica.reset(Position.NONE, new TreeMap<>());
        publications.clear();
        highestToken = 0;
    }

    /**
     * Returns the log as plain values (strings, integers, byte arrays, lists), in parts of at most this
     * many bytes, or with a single entry, change or identifier if that is larger.
     */
    public List<Object> snapshot(int partBytes) {
        LogSnapshotBuilder parts = new LogSnapshotBuilder(partBytes);
        // the position comes first so that a reader of the first part knows it
        parts.add("head", 0, List.of(position().epoch(), position().number(), highestToken));
        for (Map.Entry<String, Value> entry : replica.entries().entrySet()) {
            int size = SizeEstimate.ofEntry(entry.getKey(), entry.getValue());
            parts.add("entry", size, List.of(entry.getKey(), entry.getValue().bytes()));
        }
        for (Change change : replica.window().all()) {
            parts.add("change", change.sizeBytes(), PlainValues.toPlain(change));
        }
        publications.forEach(
                (id, position) ->
                        parts.add(
                                "publication",
                                SizeEstimate.ofKey(id),
                                List.of(id, position.epoch(), position.number())));
        return parts.build();
    }

    /** Replaces the log by the contents of these snapshot parts. */
    public void restore(List<Object> parts) {
        clear();
        TreeMap<String, Value> entries = new TreeMap<>();
        List<Change> window = new ArrayList<>();
        Position position = Position.NONE;
        for (Object each : parts) {
            for (Object item : PlainValues.list(each)) {
                List<?> fields = PlainValues.list(item);
                switch (PlainValues.text(fields.get(0))) {
                    case "head" -> {
                        position = PlainValues.position(fields, 1);
                        highestToken = PlainValues.number(fields.get(3));
                    }
                    case "entry" ->
                            entries.put(
                                    PlainValues.text(fields.get(1)),
                                    PlainValues.value(fields.get(2)));
                    case "change" -> window.add(PlainValues.change(fields, 1));
                    case "publication" ->
                            publications.put(
                                    PlainValues.text(fields.get(1)),
                                    PlainValues.position(fields, 2));
                    default ->
                            throw new ProtocolException(
                                    ProtocolException.Kind.MALFORMED,
                                    "unknown item in a log snapshot: " + fields.get(0));
                }
            }
        }
        replica.reset(position, entries);
        if (!window.isEmpty()) {
            replica.window().reset(window.get(0).predecessor());
            window.forEach(replica.window()::add);
        }
    }
}
