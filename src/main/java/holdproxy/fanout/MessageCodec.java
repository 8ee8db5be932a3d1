package holdproxy.fanout;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.fanout.CoverageReport.PositionCount;
import holdproxy.fanout.Message.Acknowledge;
import holdproxy.fanout.Message.Batch;
import holdproxy.fanout.Message.Heartbeat;
import holdproxy.fanout.Message.Refuse;
import holdproxy.fanout.Message.SnapshotPart;
import holdproxy.fanout.Message.Subscribe;
import holdproxy.fanout.ProtocolException.Kind;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeSet;

/**
 * Encodes messages as CBOR: a list of the protocol version, the number of the message kind and the
 * message's fields in a fixed order. Unknown fields are rejected rather than skipped: they could be
 * part of a change, which must not be lost silently.
 */
public final class MessageCodec {
    /** Protocol version; incremented with every change to a message. */
    public static final int VERSION = 1;

    private static final int SUBSCRIBE = 1;
    private static final int BATCH = 2;
    private static final int SNAPSHOT_PART = 3;
    private static final int ACKNOWLEDGE = 4;
    private static final int HEARTBEAT = 5;
    private static final int REFUSE = 6;

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final JSON CBOR = JSON.builder(FACTORY).build();

    private final FanoutSettings.Limits limits;

    /** Creates a codec that rejects frames and fields exceeding these limits. */
    public MessageCodec(FanoutSettings.Limits limits) {
        this.limits = limits;
    }

    /** Returns the content of one frame. */
    public byte[] encode(Message message) {
        try {
            return CBOR.asBytes(toPlain(message));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a message", e);
        }
    }

    /**
     * Decodes the content of one frame.
     *
     * @throws ProtocolException if the frame breaks the protocol; its message says how
     */
    public Message decode(byte[] bytes) {
        if (bytes.length > limits.frameBytes()) {
            throw new ProtocolException(
                    Kind.TOO_LARGE,
                    "a frame of " + bytes.length + " bytes, the limit is " + limits.frameBytes());
        }
        List<?> fields = parse(bytes);
        if (fields.size() < 2) {
            throw PlainValues.malformed("a message of " + fields.size() + " fields");
        }
        long version = PlainValues.number(fields.get(0));
        if (version != VERSION) {
            throw new ProtocolException(
                    Kind.FOREIGN_VERSION,
                    "protocol version " + version + ", this process supports " + VERSION);
        }
        try {
            return message(
                    PlainValues.number(fields.get(1)),
                    new FieldReader(fields.subList(2, fields.size()), limits));
        } catch (IllegalArgumentException e) {
            throw PlainValues.malformed(e.getMessage());
        }
    }

    private static List<?> parse(byte[] bytes) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw PlainValues.malformed("a frame does not begin with a list");
            }
            List<?> fields = CBOR.listFrom(parser);
            if (parser.nextToken() != null) {
                throw PlainValues.malformed("a frame has further bytes after its message");
            }
            return fields;
        } catch (IOException e) {
            throw PlainValues.malformed(
                    "a frame is not a CBOR list: " + e.getClass().getSimpleName());
        }
    }

    // ---- encoding ----

    private static List<Object> toPlain(Message message) {
        List<Object> plain = new ArrayList<>();
        plain.add(VERSION);
        if (message instanceof Subscribe subscribe) {
            plain.add(SUBSCRIBE);
            plain.add(subscribe.name());
            add(plain, subscribe.held());
        } else if (message instanceof Batch batch) {
            plain.add(BATCH);
            add(plain, batch.predecessor());
            plain.add(toPlainChanges(batch));
        } else if (message instanceof SnapshotPart part) {
            plain.add(SNAPSHOT_PART);
            add(plain, part.position());
            plain.add(part.index());
            plain.add(part.parts());
            plain.add(PlainValues.toPlain(part.entries()));
        } else if (message instanceof Acknowledge acknowledge) {
            plain.add(ACKNOWLEDGE);
            add(plain, acknowledge.received());
            add(plain, acknowledge.assembling());
            plain.add(acknowledge.parts());
            plain.add(toPlain(acknowledge.report()));
        } else if (message instanceof Heartbeat heartbeat) {
            plain.add(HEARTBEAT);
            add(plain, heartbeat.newest());
            plain.add(heartbeat.ageUs());
        } else if (message instanceof Refuse refuse) {
            plain.add(REFUSE);
            plain.add(refuse.reason().ordinal());
            plain.add(refuse.detail());
            plain.add(refuse.retryAfterUs());
        }
        return plain;
    }

    private static void add(List<Object> plain, Position position) {
        plain.add(position.epoch());
        plain.add(position.number());
    }

    /** Puts and deletes of each change; the positions follow from the batch's predecessor. */
    private static List<Object> toPlainChanges(Batch batch) {
        List<Object> plain = new ArrayList<>();
        for (Change change : batch.changes()) {
            plain.add(List.of(PlainValues.toPlain(change.puts()), List.copyOf(change.deletes())));
        }
        return plain;
    }

    private static List<Object> toPlain(CoverageReport report) {
        List<Object> inForce = new ArrayList<>();
        for (PositionCount count : report.inForce()) {
            add(inForce, count.position());
            inForce.add(count.proxies());
        }
        List<Object> rejections = new ArrayList<>();
        for (Rejection rejection : report.rejections()) {
            rejections.add(rejection.name());
            add(rejections, rejection.position());
            rejections.add(rejection.reason());
        }
        return List.of(report.proxies(), inForce, report.rejecting(), rejections);
    }

    // ---- decoding ----

    private Message message(long kind, FieldReader fields) {
        Message message =
                switch ((int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, kind))) {
                    case SUBSCRIBE -> new Subscribe(fields.name(), fields.position());
                    case BATCH -> batch(fields);
                    case SNAPSHOT_PART ->
                            new SnapshotPart(
                                    fields.position(),
                                    fields.count(),
                                    fields.count(),
                                    fields.entries(limits.stateKeys()));
                    case ACKNOWLEDGE ->
                            new Acknowledge(
                                    fields.position(),
                                    fields.position(),
                                    fields.count(),
                                    report(fields.nested()));
                    case HEARTBEAT -> new Heartbeat(fields.position(), fields.nonNegative());
                    case REFUSE ->
                            new Refuse(
                                    reason(fields.count()), fields.reason(), fields.nonNegative());
                    default ->
                            throw new ProtocolException(
                                    Kind.UNKNOWN_MESSAGE, "unknown message kind " + kind);
                };
        fields.requireEnd();
        return message;
    }

    private Batch batch(FieldReader fields) {
        Position predecessor = fields.position();
        List<Change> changes = new ArrayList<>();
        for (Object each : fields.list(limits.windowChanges())) {
            FieldReader change = new FieldReader(PlainValues.list(each), limits);
            SortedMap<String, Value> puts = change.entries(limits.changeKeys());
            TreeSet<String> deletes = change.keys(limits.changeKeys());
            change.requireEnd();
            changes.add(new Change(predecessor.plus(changes.size() + 1L), puts, deletes));
        }
        return new Batch(predecessor, changes);
    }

    private CoverageReport report(FieldReader fields) {
        long proxies = fields.nonNegative();
        FieldReader counts = fields.nested();
        long rejecting = fields.nonNegative();
        FieldReader names = fields.nested();
        fields.requireEnd();
        List<PositionCount> inForce = new ArrayList<>();
        while (counts.hasMore()) {
            counts.requireBelow(inForce.size(), limits.reportedPositions());
            inForce.add(new PositionCount(counts.position(), counts.nonNegative()));
        }
        List<Rejection> rejections = new ArrayList<>();
        while (names.hasMore()) {
            names.requireBelow(rejections.size(), limits.reportedRejections());
            rejections.add(new Rejection(names.name(), names.position(), names.reason()));
        }
        return new CoverageReport(proxies, inForce, rejecting, rejections);
    }

    private static Refuse.Reason reason(int number) {
        Refuse.Reason[] reasons = Refuse.Reason.values();
        if (number >= reasons.length) {
            throw PlainValues.malformed("unknown refusal reason number " + number);
        }
        return reasons[number];
    }
}
