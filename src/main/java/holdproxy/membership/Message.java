package holdproxy.membership;

import java.util.List;

/**
 * A message of the membership protocol.
 *
 * @param kind type of the message
 * @param seq sequence number of a request, repeated in its response
 * @param target name of the process that a {@link Kind#PING_REQUEST} or its response is about, else empty
 * @param digest digest of the members that the sender considers live, to detect differing views
 * @param sender the sender, as it announces itself
 * @param updates updates still being gossiped; in a {@link Kind#VIEW} a part of all known members
 */
public record Message(
        Kind kind, long seq, String target, long digest, Member sender, List<Member> updates) {
    /** Type of a message; its ordinal is sent. */
    public enum Kind {
        /** Asks whether the receiver is alive. */
        PING,
        /** Answers a ping; in answer to {@link #PING_REQUEST}: the target has answered. */
        ACK,
        /** Asks the receiver to ping the target on behalf of the sender. */
        PING_REQUEST,
        /** Answers {@link #PING_REQUEST}: the sender is alive, the target has not answered it yet. */
        NACK,
        /** Asks for all known members; also used to join. */
        ASK_VIEW,
        /** A part of the members that the sender knows. */
        VIEW
    }

    public Message {
        updates = List.copyOf(updates);
    }
}
