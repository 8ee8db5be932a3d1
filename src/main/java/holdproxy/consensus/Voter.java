package holdproxy.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter, identified by its process and its disk: a process that loses its disk has lost its votes and comes
 * back as another voter.
 *
 * @param name name of the process
 * @param disk 0 in the first voters, else a random number drawn for an empty disk
 */
public record Voter(String name, long disk) implements RaftEndpoint {
    /** Parses the text form used in frames and files. */
    static Voter read(String text) {
        int slash = text.lastIndexOf('/');
        return new Voter(
                text.substring(0, slash), Long.parseUnsignedLong(text.substring(slash + 1), 16));
    }

    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public String toString() {
        return name + "/" + Long.toHexString(disk);
    }
}
