package holdproxy.fanout;

/**
 * A frame or message that breaks the protocol; the link that it came by ends. The text names what
 * is wrong.
 */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with a frame. */
    public enum Kind {
        /** No CBOR list, or parts of the wrong type. */
        MALFORMED,
        /** Another version of the protocol. */
        FOREIGN_VERSION,
        /** A number of a message kind that this version does not have. */
        UNKNOWN_MESSAGE,
        /** More parts than this version knows. */
        UNKNOWN_FIELD,
        /** A frame, key, value or list that exceeds its limit. */
        TOO_LARGE,
        /** A message that only the other side sends. */
        UNEXPECTED
    }

    private final Kind kind;

    /** {@code detail}: what is wrong and where, for the log. */
    public ProtocolException(Kind kind, String detail) {
        super(kind + ": " + detail);
        this.kind = kind;
    }

    /** Which rule of the protocol is broken. */
    public Kind kind() {
        return kind;
    }
}
