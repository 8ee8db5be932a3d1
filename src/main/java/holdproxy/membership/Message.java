package holdproxy.membership;

import java.util.List;

/**
 * What one process says to another of the fleet's members.
 *
 * @param kind what it is about
 * @param seq number of a question, which its answer repeats
 * @param target name of the process that {@link Kind#PING_REQUEST} is about, else empty
 * @param digest of all that the sender holds for live, so that a difference is seen
 * @param sender itself, as it knows itself
 * @param updates updates that have not gone round yet; all that is known in a {@link Kind#VIEW}
 */
public record Message(
        Kind kind, long seq, String target, long digest, Member sender, List<Member> updates) {
    /** What a message is about. */
    public enum Kind {
        /** Do you live? */
        PING,
        /** Yes; or for somebody who asked by way of the sender: the target does. */
        ACK,
        /** Ask the target for me. */
        PING_REQUEST,
        /** I do live, the target has not answered me yet. */
        NACK,
        /** What do you know? Also how a process joins. */
        ASK_VIEW,
        /** A part of all that the sender knows. */
        VIEW
    }

    public Message {
        updates = List.copyOf(updates);
    }
}
