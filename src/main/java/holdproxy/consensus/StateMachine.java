package holdproxy.consensus;

import java.util.List;

/**
 * What the log's operations make, the same in every voter. Operations, answers and parts of a snapshot are
 * plain values: texts, whole numbers, truths, null, and lists of them. Called on the consensus thread.
 */
public interface StateMachine {
    /** Applies an operation that is agreed; {@code index} grows. Its answer goes to who proposed it. */
    Object apply(long index, Object operation);

    /**
     * In the process that leads: an answer that needs no agreement, since the operation would change nothing
     * and whoever asks bears an old answer; null where it has to be agreed.
     */
    Object atOnce(Object operation);

    /** Becomes empty: it is made again from the beginning. */
    void clear();

    /** All of it, in parts of less than a quarter of a frame each. */
    List<Object> snapshot();

    /** Becomes what these parts say. */
    void restore(List<Object> parts);
}
