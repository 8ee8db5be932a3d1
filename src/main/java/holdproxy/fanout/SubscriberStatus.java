package holdproxy.fanout;

/**
 * What operators see of a subscriber; counts are since its start.
 *
 * @param received position to which everything has come
 * @param inForce position of the last state that was accepted
 * @param ageUs for how long it has not known that what it received is the newest there is, in
 *     microseconds, or {@link Relay.Source#UNKNOWN_AGE_US}
 * @param relay that it is subscribed at, empty while there is none
 * @param rejection of the state at the position received, null where it was accepted
 * @param rejected states that were not accepted
 * @param moves from a relay, or an attempt at one, to the next
 * @param duplicates batches and parts that had come before
 * @param gaps batches and parts that did not follow what had come
 * @param lowerEpochs relays that were left because they offered an older history
 * @param snapshots that were taken over
 * @param changes that were applied one by one
 */
public record SubscriberStatus(
        Position received,
        Position inForce,
        long ageUs,
        String relay,
        Rejection rejection,
        long rejected,
        long moves,
        long duplicates,
        long gaps,
        long lowerEpochs,
        long snapshots,
        long changes) {}
