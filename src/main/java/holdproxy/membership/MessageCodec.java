package holdproxy.membership;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages as CBOR: a list of the message's parts in their order, each member a list of its own. Later
 * versions add parts at the end, which earlier ones pass over.
 */
public final class MessageCodec {
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();
    private static final int MOST_UPDATES = 128;
    private static final int LONGEST = 256;
    private static final int PARTS = 6;

    private MessageCodec() {}

    /** The message as one frame. */
    public static byte[] bytes(Message message) {
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
            throw new UncheckedIOException("a message cannot be written", e);
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

    /** What these bytes say, or a {@link BadInput}. */
    public static Message message(byte[] bytes) {
        List<Object> parts;
        try {
            parts = CBOR.listFrom(bytes);
        } catch (IOException e) {
            throw new BadInput("a message is no CBOR list: " + e.getClass().getSimpleName());
        }
        if (parts == null || parts.size() < PARTS) {
            throw new BadInput("a message has too few parts");
        }
        List<Member> updates = new ArrayList<>();
        for (Object each : list(parts.get(5), MOST_UPDATES)) {
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
        if (parts.size() < PARTS || text(parts.get(0)).isEmpty()) {
            throw new BadInput("a member in a message has too few parts");
        }
        return new Member(
                text(parts.get(0)),
                text(parts.get(1)),
                number(parts.get(2)),
                index(parts.get(3), Integer.MAX_VALUE),
                Member.State.values()[index(parts.get(4), Member.State.values().length)],
                text(parts.get(5)));
    }

    private static List<?> list(Object value, int most) {
        if (value instanceof List<?> list && list.size() <= most) {
            return list;
        }
        throw new BadInput("a message has no list, or too long a one, where one belongs");
    }

    private static String text(Object value) {
        if (value instanceof String text && text.length() <= LONGEST) {
            return text;
        }
        throw new BadInput("a message has no text, or too long a one, where one belongs");
    }

    private static long number(Object value) {
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new BadInput("a message has no number where one belongs");
    }

    private static int index(Object value, int below) {
        long number = number(value);
        if (number < 0 || number >= below) {
            throw new BadInput("a number in a message is out of its bounds: " + number);
        }
        return (int) number;
    }
}
