package holdproxy.lease;

/**
 * A lease as the voters have agreed on it.
 *
 * @param role its name: what its holder does
 * @param token fencing token: no two grants of any role have the same, later ones have higher ones
 * @param holder name of the process
 * @param generation its generation, which each start raises
 * @param ms length, from when the holder asked, in milliseconds
 * @param renewals how often it was renewed
 */
public record Lease(
        String role, long token, String holder, long generation, int ms, long renewals) {
    Lease renewed() {
        return new Lease(role, token, holder, generation, ms, renewals + 1);
    }
}
