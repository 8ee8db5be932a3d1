package holdproxy.membership;

/**
 * What is known of one process of the fleet.
 *
 * @param name of the process, the same over all its generations
 * @param address where it says it is reached
 * @param generation its generation, which each start raises: a later start has a higher number
 * @param incarnation grows within a generation each time that it contradicts what others say of it
 * @param state what it is held for
 * @param who said so; the process's own name while it is alive or has left
 */
public record Member(
        String name, String address, long generation, int incarnation, State state, String by) {
    /** In the order in which updates of the same incarnation replace each other. */
    public enum State {
        ALIVE,
        /** Somebody could not reach it; it lives unless nobody can. */
        SUSPECT,
        /** Held for dead: it answered nobody for the time that a suspicion lasts. */
        DEAD,
        /** It has said that it ends. */
        LEFT
    }

    /** Whether it is reckoned with: until the contrary is shown, a suspect is. */
    public boolean live() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Whether this replaces another update of the same process. */
    boolean replaces(Member other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }

    /** Whether both are of one generation and incarnation. */
    boolean sameIncarnation(Member other) {
        return generation == other.generation && incarnation == other.incarnation;
    }

    Member as(State now, String saidBy) {
        return new Member(name, address, generation, incarnation, now, saidBy);
    }
}
