package holdproxy.fanout;

/** What became of a {@link Publication}. */
public sealed interface AppendResult {

    /**
     * It is in the log.
     *
     * @param position of its change
     * @param repeated it had been appended before under the same identifier, and nothing happened now
     */
    record Appended(Position position, boolean repeated) implements AppendResult {}

    /**
     * It is not in the log, and nothing has changed.
     *
     * @param reason what for
     * @param detail in one line, with names and figures
     */
    record Refused(Reason reason, String detail) implements AppendResult {}

    /** Why a log refuses. */
    enum Reason {
        /** The log has no epoch yet. */
        NOT_FOUNDED,
        /** A later holder of the publisher's lease has published. */
        STALE_TOKEN,
        /** A key, value or the whole change exceeds its limit. */
        TOO_LARGE,
        /** The state would exceed its limit. */
        STATE_FULL,
        /** It has neither puts nor deletes, an empty key, or a key in both. */
        INVALID,
        /** No operation that this version knows. */
        UNKNOWN_OPERATION
    }
}
