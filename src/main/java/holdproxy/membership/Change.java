package holdproxy.membership;

/**
 * That a process is held for something else than before.
 *
 * @param before null where it was not known
 * @param now what it is held for
 * @param voices how many processes had said so, this one included
 */
public record Change(Member before, Member now, int voices) {}
