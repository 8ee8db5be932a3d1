package holdproxy.lease;

/**
 * A duty as the council has it.
 *
 * @param duty its name
 * @param token fencing token: no two grants of any duty have the same, later ones have higher ones
 * @param holder name of the process
 * @param life which of its lives
 * @param ms length, from when the holder asked, in milliseconds
 * @param renewals how often it was renewed
 */
public record Lease(String duty, long token, String holder, long life, int ms, long renewals) {
    Lease renewed() {
        return new Lease(duty, token, holder, life, ms, renewals + 1);
    }
}
