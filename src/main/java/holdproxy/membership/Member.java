package holdproxy.membership;

/**
 * What is known of one process of the fleet.
 *
 * @param name name of the process, the same in all its generations
 * @param address the address that it advertises
 * @param generation raised by each start of the process
 * @param incarnation raised within a generation each time the process refutes a report about it
 * @param state its known state
 * @param by name of the process that reported the state; its own while it is alive or has left
 */
public record Member(
        String name, String address, long generation, int incarnation, State state, String by) {
    /** For the same incarnation, an update with a later state replaces one with an earlier state. */
    public enum State {
        ALIVE,
        /** Some process could not reach it; it is dead only if none can. */
        SUSPECT,
        /** It answered no process until the suspicion timed out. */
        DEAD,
        /** It announced that it shuts down. */
        LEFT
    }

    /** Whether it counts as running; a suspect does until it is found dead. */
    public boolean live() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Whether this update replaces another one about the same process. */
    boolean replaces(Member other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }

    /** Whether both have the same generation and incarnation. */
    boolean sameIncarnation(Member other) {
        return generation == other.generation && incarnation == other.incarnation;
    }

    Member withState(State newState, String reportedBy) {
        return new Member(name, address, generation, incarnation, newState, reportedBy);
    }
}
