package holdproxy.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter: a process by its name, and which of its disks. Whoever loses the disk has forgotten its votes, and
 * comes back as another voter.
 *
 * @param name of the process
 * @param disk a number drawn when the disk was begun
 */
public record Voter(String name, long disk) implements RaftEndpoint {
    /** The form that frames and files have. */
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
