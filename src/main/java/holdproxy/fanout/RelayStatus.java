package holdproxy.fanout;

/**
 * What operators see of a relay; counts are since its start.
 *
 * @param newest position that it holds
 * @param ageUs for how long it has not known that this is the newest there is, in microseconds, or
 *     {@link Relay.Source#UNKNOWN_AGE_US}
 * @param subscribers now
 * @param catchingUp of them, those that are behind and paced
 * @param batches sent
 * @param snapshotParts sent
 * @param catchUpBytes of batches and parts that were paced
 * @param droppedSlow subscribers that left something unacknowledged
 * @param droppedSilent subscribers that said nothing
 * @param refused because it is full or behind
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
