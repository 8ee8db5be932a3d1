package holdproxy.fanout;

import holdproxy.fanout.AppendResult.Appended;
import holdproxy.fanout.AppendResult.Reason;
import holdproxy.fanout.AppendResult.Refused;
import java.util.List;
import java.util.TreeSet;

/**
 * Operations on a {@link ChangeLog} and their results as plain values (strings, integers, booleans, byte
 * arrays, lists), as stored in the consensus log.
 */
public final class ChangeLogOperations {
    private static final String FOUND = "found";
    private static final String APPEND = "append";
    private static final String APPENDED = "appended";
    private static final String REFUSED = "refused";

    private ChangeLogOperations() {}

    /** The operation {@link ChangeLog#initialize}. */
    public static List<Object> initialize(long epoch) {
        return List.of(FOUND, epoch);
    }

    /** The operation {@link ChangeLog#append}. */
    public static List<Object> append(Publication publication) {
        return List.of(
                APPEND,
                publication.token(),
                publication.id(),
                PlainValues.toPlain(publication.puts()),
                List.copyOf(publication.deletes()));
    }

    /**
     * Applies an operation of the consensus log; one that this version does not know is refused without
     * any change. The same operation gives the same result on every machine.
     */
    public static List<Object> apply(ChangeLog log, Object operation) {
        AppendResult result;
        try {
            result = dispatch(log, PlainValues.list(operation));
        } catch (ProtocolException | IndexOutOfBoundsException | IllegalArgumentException e) {
            result = new Refused(Reason.UNKNOWN_OPERATION, String.valueOf(e.getMessage()));
        }
        return toPlain(result);
    }

    private static AppendResult dispatch(ChangeLog log, List<?> operation) {
        String name = PlainValues.text(operation.get(0));
        return switch (name) {
            case FOUND -> new Appended(log.initialize(PlainValues.number(operation.get(1))), false);
            case APPEND ->
                    log.append(
                            new Publication(
                                    PlainValues.number(operation.get(1)),
                                    PlainValues.text(operation.get(2)),
                                    PlainValues.entries(operation.get(3)),
                                    new TreeSet<>(PlainValues.texts(operation.get(4)))));
            default -> new Refused(Reason.UNKNOWN_OPERATION, "unknown operation " + name);
        };
    }

    private static List<Object> toPlain(AppendResult result) {
        if (result instanceof Appended appended) {
            return List.of(
                    APPENDED,
                    appended.position().epoch(),
                    appended.position().number(),
                    appended.repeated());
        }
        Refused refused = (Refused) result;
        return List.of(REFUSED, refused.reason().name(), refused.detail());
    }

    /** Decodes the result of {@link #apply}. */
    public static AppendResult decodeResult(Object encoded) {
        List<?> fields = PlainValues.list(encoded);
        return switch (PlainValues.text(fields.get(0))) {
            case APPENDED ->
                    new Appended(
                            PlainValues.position(fields, 1), Boolean.TRUE.equals(fields.get(3)));
            case REFUSED ->
                    new Refused(
                            Reason.valueOf(PlainValues.text(fields.get(1))),
                            PlainValues.text(fields.get(2)));
            default -> throw PlainValues.malformed("unknown result " + fields.get(0));
        };
    }
}
