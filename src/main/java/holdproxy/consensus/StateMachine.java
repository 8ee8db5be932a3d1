package holdproxy.consensus;

import java.util.List;

/**
 * The replicated state machine, which applies the log's operations identically in every voter. Operations,
 * answers and snapshot parts are plain values: strings, whole numbers, booleans, null, and lists of them.
 * Called on the consensus thread.
 */
public interface StateMachine {
    /** Applies a committed operation; {@code index} increases. The answer is sent to the proposer. */
    Object apply(long index, Object operation);

    /**
     * Called in the leader: returns an answer without replication if the operation would change nothing and
     * the proposer tolerates a stale answer; null if the operation has to be replicated.
     */
    Object answerWithoutReplication(Object operation);

    /** Resets to the empty state, before the log is replayed. */
    void clear();

    /** Returns the whole state, in parts of less than a quarter of a frame each. */
    List<Object> snapshot();

    /** Replaces the state with that of a snapshot. */
    void restore(List<Object> parts);
}
