package holdproxy.fanout;

/**
 * A relay's status for operators; counters are since its start.
 *
 * @param newest newest position held
 * @param ageUs time in microseconds since this position was last known to be the newest, or {@link
 *     Relay.Source#UNKNOWN_AGE_US}
 * @param subscribers current number of subscribers
 * @param catchingUp number of those that are behind and served at the catch-up rate
 * @param batches batches sent
 * @param snapshotParts snapshot parts sent
 * @param catchUpBytes bytes of batches and parts sent at the catch-up rate
 * @param droppedSlow subscribers dropped because they did not acknowledge in time
 * @param droppedSilent subscribers dropped because they sent nothing
 * @param refused subscribers refused because the relay was full or had an older epoch
 */
public record RelayStatus(
        Position newest,
        long ageUs,
        int subscribers,
        int catchingUp,
        long batches,
        long snapshotParts,
        long catchUpBytes,
        long droppedSlow,
        long droppedSilent,
        long refused) {}
