package holdproxy.membership;

/**
 * What is known of one process of the fleet.
 *
 * @param name of the process, the same over all its lives
 * @param address where it says it is reached
 * @param life which of its lives: a later start has a higher number
 * @param incarnation grows within a life each time that it contradicts others' word of it
 * @param state what it is held for
 * @param by whose word that is; the process's own name while it is alive or has left
 */
public record Member(
        String name, String address, long life, int incarnation, State state, String by) {
    /** In the order in which words of the same incarnation replace each other. */
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

    /** Whether this replaces another word of the same process. */
    boolean replaces(Member other) {
        if (life != other.life) {
            return life > other.life;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }

    /** Whether both are of one life and incarnation. */
    boolean sameWord(Member other) {
        return life == other.life && incarnation == other.incarnation;
    }

    Member as(State now, String saidBy) {
        return new Member(name, address, life, incarnation, now, saidBy);
    }
}
