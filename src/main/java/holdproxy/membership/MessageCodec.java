package holdproxy.membership;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages as CBOR: a list of the message's fields in order, each member a nested list. Later
 * versions append fields at the end, which earlier ones ignore.
 */
public final class MessageCodec {
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final int MAX_UPDATES = 128;
    private static final int MAX_STRING_LENGTH = 256;
    private static final int FIELDS = 6;

    private MessageCodec() {}

    /** Encodes a message as one frame. */
    public static byte[] encode(Message message) {
        List<Object> updates = new ArrayList<>();
        message.updates().forEach(m -> updates.add(list(m)));
        try {
            return CBOR.asBytes(
                    List.of(
                            message.kind().ordinal(),
                            message.seq(),
                            message.target(),
                            message.digest(),
                            list(message.sender()),
                            updates));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a membership message", e);
        }
    }

    private static List<Object> list(Member m) {
        return List.of(
                m.name(),
                m.address(),
                m.generation(),
                m.incarnation(),
                m.state().ordinal(),
                m.by());
    }

    /** Decodes a message; throws {@link BadInput} if the bytes are malformed. */
    public static Message decode(byte[] bytes) {
        List<Object> parts;
        try {
            parts = CBOR.listFrom(bytes);
        } catch (IOException e) {
            throw new BadInput(
                    "membership message is not a CBOR list: " + e.getClass().getSimpleName());
        }
        if (parts == null || parts.size() < FIELDS) {
            throw new BadInput("membership message has too few fields");
        }
        List<Member> updates = new ArrayList<>();
        for (Object each : list(parts.get(5), MAX_UPDATES)) {
            updates.add(member(each));
        }
        return new Message(
                Message.Kind.values()[index(parts.get(0), Message.Kind.values().length)],
                number(parts.get(1)),
                text(parts.get(2)),
                number(parts.get(3)),
                member(parts.get(4)),
                updates);
    }

    private static Member member(Object value) {
        List<?> parts = list(value, Integer.MAX_VALUE);
        if (parts.size() < FIELDS || text(parts.get(0)).isEmpty()) {
            throw new BadInput("member in a membership message has too few fields or no name");
        }
        return new Member(
                text(parts.get(0)),
                text(parts.get(1)),
                number(parts.get(2)),
                index(parts.get(3), Integer.MAX_VALUE),
                Member.State.values()[index(parts.get(4), Member.State.values().length)],
                text(parts.get(5)));
    }

    private static List<?> list(Object value, int maxItems) {
        if (value instanceof List<?> list && list.size() <= maxItems) {
            return list;
        }
        throw new BadInput("membership message: expected a list of bounded length");
    }

    private static String text(Object value) {
        if (value instanceof String text && text.length() <= MAX_STRING_LENGTH) {
            return text;
        }
        throw new BadInput("membership message: expected a string of bounded length");
    }

    private static long number(Object value) {
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new BadInput("membership message: expected a whole number");
    }

    private static int index(Object value, int limit) {
        long number = number(value);
        if (number < 0 || number >= limit) {
            throw new BadInput("membership message: number out of range: " + number);
        }
        return (int) number;
    }
}
