package holdproxy.fanout;

/** The result of appending a {@link Publication}. */
public sealed interface AppendResult {

    /**
     * The publication is in the log.
     *
     * @param position of its change
     * @param repeated true if it had already been appended under the same identifier; nothing changed
     */
    record Appended(Position position, boolean repeated) implements AppendResult {}

    /**
     * The publication was refused, and nothing has changed.
     *
     * @param reason why it was refused
     * @param detail one line for operators, with names and figures
     */
    record Refused(Reason reason, String detail) implements AppendResult {}

    /** Why a log refuses a publication. */
    enum Reason {
        /** The log has no epoch yet. */
        NOT_FOUNDED,
        /** A later holder of the publisher's lease exists: a higher fencing token has been seen. */
        STALE_TOKEN,
        /** A key, value or the whole change exceeds its limit. */
        TOO_LARGE,
        /** The state would exceed its limit. */
        STATE_FULL,
        /** It has neither puts nor deletes, an empty key, or a key that is both put and deleted. */
        INVALID,
        /** The operation is unknown to this version. */
        UNKNOWN_OPERATION
    }
}
