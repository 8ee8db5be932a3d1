package holdproxy.input;

/** Input that does not follow the wire; the message says what and where, on one line. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;

    /** {@code message}: what is wrong, and where. */
    public BadInput(String message) {
        this(message, null);
    }

    /** {@code path}: of the value at fault, its keys joined by dots, for who knows where it stands. */
    public BadInput(String message, String path) {
        super(message);
        this.path = path;
    }

    /** Of the value at fault; null where the message says all. */
    public String path() {
        return path;
    }
}
