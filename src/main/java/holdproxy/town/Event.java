package holdproxy.town;

/**
 * One line of the town's own record, which auditors read.
 *
 * @param us when, in microseconds of the town's time
 * @param kind what happened
 * @param where the host that saw it
 * @param id the request's id where it is about one, else empty
 * @param detail what else there is to it, by kind
 */
public record Event(long us, Kind kind, String where, String id, String detail) {
    /** What happened. */
    public enum Kind {
        /** Somebody wants something; where: the club, id: what its tries' ids begin with, detail: class. */
        WANTED,
        /** A client wrote a request's last byte; detail: class, key of a write or -, and wait in ms. */
        ASKED,
        /** The request has come to the proxy and was read by it. */
        TAKEN,
        /** A client has read an answer; detail: its first line, and the value. */
        ANSWERED,
        /** A client gave a request up and closed its connection. */
        LEFT,
        /** A proxy's connection ended under a client that waited on it. */
        CUT,
        /** A command's last byte has come to a node; detail: key of a write or -, proxy, and work in us. */
        ARRIVED,
        /** A node or the register has run it; detail: the value or receipt that it made. */
        RAN,
        /** The register has applied a write; detail: its key. */
        APPLIED,
        /** A node is up; detail: speed at first and when warm, in standard cores, and us in between. */
        UP,
        /** Discovery wrote a node's state to a proxy; where: the proxy, id: the node, detail: the state. */
        TOLD,
        /** Operators left a node out at a proxy, or used it again; id: the node, detail: out or back. */
        OUT,
        /** A proxy has taken settings; detail: attempts. */
        RETUNED,
        /** What a proxy shows operators at the end; detail: ok, shed, errors, tries and active. */
        FIGURES,
        /**
         * What the state of a zone kept from its end, or made late; where: who it was to, id: who sent it,
         * detail: dial, message or late, whether people sent it, and the silent zone that it was for from
         * outside, or -1.
         */
        LOST,
        /** What a process says that it did, by its own clock; id: that in microseconds, detail: what. */
        SAID,
        /** A guarded resource was acted upon; id: by whom, detail: duty, token, taken or refused. */
        ACTED,
        /** Something was done to a host; detail: what. */
        FAULT
    }

    /** A word of the detail, the first being 0; without splitting all of it, for auditors read millions. */
    public String word(int i) {
        int from = 0;
        for (int left = i; left > 0; left--) {
            from = detail.indexOf(' ', from) + 1;
        }
        int end = detail.indexOf(' ', from);
        return end < 0 ? detail.substring(from) : detail.substring(from, end);
    }

    /** Of the id of a try: what is common to all tries of its want, which is all but the last digit. */
    public String want() {
        return id.substring(0, id.length() - 1);
    }

    @Override
    public String toString() {
        return us + " " + kind + " " + where + " " + id + " " + detail;
    }
}
