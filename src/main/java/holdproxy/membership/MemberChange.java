package holdproxy.membership;

/**
 * A change in what this process knows of another member.
 *
 * @param before the member as known before; null if it was unknown
 * @param now the member as known now
 * @param voices number of processes that reported it, this one included
 */
public record MemberChange(Member before, Member now, int voices) {}
