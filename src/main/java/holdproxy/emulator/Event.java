package holdproxy.emulator;

/**
 * An entry of the record of an emulated site, which the auditors read.
 *
 * @param us time in microseconds of the site's clock
 * @param kind what happened
 * @param host the host that observed it
 * @param id id of the request where it is about one, else empty unless the kind says otherwise
 * @param detail further fields, as stated for the kind
 */
public record Event(long us, Kind kind, String host, String id, String detail) {
    /** Kinds of events; the names of the constants are written to the record. */
    public enum Kind {
        /**
         * A client begins an operation; host: the club, id: the prefix of its requests' ids, detail: class,
         * and zone of the client if there are several.
         */
        WANTED,
        /** A client has written a request; detail: class, idempotency key of a write or -, and wait in ms. */
        ASKED,
        /** The proxy has read the request. */
        TAKEN,
        /** A client has read an answer; id: empty if it had no open request, detail: first line and value. */
        ANSWERED,
        /** A client gave up on a request and closed its connection. */
        LEFT,
        /** A connection to a proxy closed while a client waited for an answer on it. */
        CUT,
        /**
         * A node has read a command; detail: idempotency key of a write or -, proxy, and work in microseconds
         * on a standard core.
         */
        ARRIVED,
        /** A node or the origin has run a command; detail: the value or receipt that it produced. */
        RAN,
        /** The origin has applied a write; detail: its idempotency key. */
        APPLIED,
        /** A node has started; detail: speed at first and when warm, in standard cores, and us in between. */
        UP,
        /**
         * Discovery sent a node's state to a proxy; host: the proxy, id: the node, detail: the state and the
         * node's start time in milliseconds.
         */
        TOLD,
        /** Operators left a node out at a proxy, or used it again; id: the node, detail: out or back. */
        OUT,
        /** A proxy has applied new settings; detail: most attempts per request. */
        RETUNED,
        /** The counters that a proxy reports at the end; detail: ok, shed, errors, tries and active. */
        FIGURES,
        /**
         * A zone fault lost or delayed a dial or message; host: the receiver, id: the sender, detail: dial,
         * message or late, whether on a client connection, and the silent zone that it was sent into from
         * outside, or -1.
         */
        LOST,
        /** A process reported an action; id: its own clock in microseconds, detail: the action. */
        SAID,
        /** A guarded resource received an action; id: the actor, detail: duty, token, taken or refused. */
        ACTED,
        /** A fault or another action was applied to a host; detail: which. */
        FAULT
    }

    /** The i-th word of the detail, from 0; doesn't split all of it, as auditors read millions of events. */
    public String word(int i) {
        int from = 0;
        for (int left = i; left > 0; left--) {
            from = detail.indexOf(' ', from) + 1;
        }
        int end = detail.indexOf(' ', from);
        return end < 0 ? detail.substring(from) : detail.substring(from, end);
    }

    /** The id that all tries of an operation share: this request's id without its last digit. */
    public String operationId() {
        return id.substring(0, id.length() - 1);
    }

    @Override
    public String toString() {
        return us + " " + kind + " " + host + " " + id + " " + detail;
    }
}
