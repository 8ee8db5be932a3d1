package holdproxy.fanout;

/**
 * A subscriber's status for operators; counters are since its start.
 *
 * @param received position up to which everything has been received
 * @param inForce position of the last state that was accepted
 * @param ageUs time in microseconds since the received position was last known to be the newest, or
 *     {@link Relay.Source#UNKNOWN_AGE_US}
 * @param relay name of the relay it is subscribed to; empty if there is none
 * @param rejection of the state at the received position; null if it was accepted
 * @param rejected number of states that were not accepted
 * @param moves number of switches from a relay, or an attempt to reach one, to the next
 * @param duplicates batches and parts that had been received before
 * @param gaps batches and parts that did not follow the last one received
 * @param lowerEpochs number of times a relay was left because it offered an older epoch
 * @param snapshots number of snapshots applied
 * @param changes number of changes applied individually
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
