package holdproxy.lease;

/**
 * A lease as committed by the voters.
 *
 * @param role the role that its holder performs, which names the lease
 * @param token fencing token: unique among the grants of all roles, and higher in later grants
 * @param holder name of the holding process
 * @param generation generation of the holder, raised by each start
 * @param durationMs duration, counted from the holder's request
 * @param renewals number of renewals
 */
public record Lease(
        String role, long token, String holder, long generation, int durationMs, long renewals) {
    Lease renewed() {
        return new Lease(role, token, holder, generation, durationMs, renewals + 1);
    }
}
