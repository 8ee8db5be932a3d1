package holdproxy.input;

/** Thrown for invalid input; the one-line message says what is wrong and where. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;

    /** {@code message}: what is wrong and where. */
    public BadInput(String message) {
        this(message, null);
    }

    /** {@code path}: the invalid value's keys joined by dots, from which a caller can find its line. */
    public BadInput(String message, String path) {
        super(message);
        this.path = path;
    }

    /** The invalid value's path; null if the message already says where it is. */
    public String path() {
        return path;
    }
}
