package holdproxy.fanout;

/**
 * A received frame or message breaks the protocol; the link is closed. The exception's message says
 * what is wrong.
 */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How a frame or message breaks the protocol. */
    public enum Kind {
        /** Not a CBOR list, or a field of the wrong type. */
        MALFORMED,
        /** The frame has a different protocol version. */
        FOREIGN_VERSION,
        /** The number of the message kind is unknown to this version. */
        UNKNOWN_MESSAGE,
        /** The message has more fields than in this version. */
        UNKNOWN_FIELD,
        /** A frame, key, value or list that exceeds its limit. */
        TOO_LARGE,
        /** A message that the other side must not send, or not at this point. */
        UNEXPECTED
    }

    private final Kind kind;

    /** {@code detail} says what is wrong and where, for the log. */
    public ProtocolException(Kind kind, String detail) {
        super(kind + ": " + detail);
        this.kind = kind;
    }

    /** The kind of violation. */
    public Kind kind() {
        return kind;
    }
}
