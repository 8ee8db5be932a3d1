package holdproxy.fanout;

/**
 * All limits and times of the fan-out. Times are in microseconds, sizes in bytes.
 *
 * @param limits of what is stored and sent
 * @param relay how a relay serves its subscribers
 * @param subscriber how a subscriber finds and watches its relay
 */
public record FanoutSettings(Limits limits, RelaySettings relay, SubscriberSettings subscriber) {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int KIB = 1_024;
    private static final int MIB = 1_024 * KIB;

    public static final FanoutSettings DEFAULTS =
            new FanoutSettings(
                    new Limits(
                            256, 64 * KIB, 64 * KIB, 1_024, 16_384, 4 * MIB, 4_096, 4 * MIB, 1_024,
                            64, 128, 8, 16, MIB),
                    new RelaySettings(
                            2_048,
                            64 * KIB,
                            MIB,
                            256 * KIB,
                            4,
                            SECOND,
                            5 * SECOND,
                            15 * SECOND,
                            2 * SECOND,
                            500 * MS),
                    new SubscriberSettings(
                            2_500 * MS,
                            1_500 * MS,
                            6 * SECOND,
                            250 * MS,
                            2 * SECOND,
                            5 * SECOND,
                            300 * SECOND,
                            30 * SECOND,
                            5 * SECOND,
                            4 * SECOND,
                            500 * MS,
                            5 * SECOND,
                            1_500 * MS,
                            30 * SECOND));

    public FanoutSettings {
        require(
                relay.creditBytes >= limits.changeBytes,
                "the credit of "
                        + relay.creditBytes
                        + " bytes does not hold a change of "
                        + limits.changeBytes);
        require(
                relay.catchUpBurstBytes >= relay.creditBytes,
                "the catch-up burst of "
                        + relay.catchUpBurstBytes
                        + " bytes is below the credit of "
                        + relay.creditBytes);
        require(
                limits.frameBytes >= 2 * relay.creditBytes,
                "a frame of "
                        + limits.frameBytes
                        + " bytes does not hold twice the credit of "
                        + relay.creditBytes);
        require(
                subscriber.heartbeatTimeoutUs >= 2 * relay.heartbeatIntervalUs,
                "the heartbeat time-out of "
                        + subscriber.heartbeatTimeoutUs
                        + " us is below two intervals of "
                        + relay.heartbeatIntervalUs);
        require(
                relay.silenceTimeoutUs >= 2 * subscriber.keepaliveIntervalUs,
                "the silence time-out of "
                        + relay.silenceTimeoutUs
                        + " us is below two keepalives of "
                        + subscriber.keepaliveIntervalUs);
    }

    /** The same with other limits. */
    public FanoutSettings with(Limits other) {
        return new FanoutSettings(other, relay, subscriber);
    }

    /** The same with other settings of relays. */
    public FanoutSettings with(RelaySettings other) {
        return new FanoutSettings(limits, other, subscriber);
    }

    /** The same with other settings of subscribers. */
    public FanoutSettings with(SubscriberSettings other) {
        return new FanoutSettings(limits, relay, other);
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    private static void requirePositive(String name, long... values) {
        for (long value : values) {
            require(value > 0, name + " are positive, not " + value);
        }
    }

    /**
     * Bounds of what is stored and sent.
     *
     * @param keyBytes of a key, in UTF-8
     * @param valueBytes of a value
     * @param changeBytes of a change, by its upper bound on the wire
     * @param changeKeys that a change may put and delete
     * @param stateKeys that a state may have
     * @param stateBytes of all keys and values of a state
     * @param windowChanges that are kept for those who are behind
     * @param windowBytes of these together
     * @param publications whose identifiers are remembered, to recognize a repeated one
     * @param nameBytes of a process's name or a publication's identifier, in UTF-8
     * @param reasonCharacters of a rejection's reason; a longer one is cut
     * @param reportedPositions in a coverage report
     * @param reportedRejections in a coverage report
     * @param frameBytes of an encoded message
     */
    public record Limits(
            int keyBytes,
            int valueBytes,
            int changeBytes,
            int changeKeys,
            int stateKeys,
            int stateBytes,
            int windowChanges,
            int windowBytes,
            int publications,
            int nameBytes,
            int reasonCharacters,
            int reportedPositions,
            int reportedRejections,
            int frameBytes) {
        public Limits {
            requirePositive(
                    "limits",
                    keyBytes,
                    valueBytes,
                    changeBytes,
                    changeKeys,
                    stateKeys,
                    stateBytes,
                    windowChanges,
                    windowBytes,
                    publications,
                    nameBytes,
                    reasonCharacters,
                    reportedPositions,
                    reportedRejections,
                    frameBytes);
        }

        /** The same with another window of recent changes. */
        public Limits withWindow(int changes, int bytes) {
            return new Limits(
                    keyBytes,
                    valueBytes,
                    changeBytes,
                    changeKeys,
                    stateKeys,
                    stateBytes,
                    changes,
                    bytes,
                    publications,
                    nameBytes,
                    reasonCharacters,
                    reportedPositions,
                    reportedRejections,
                    frameBytes);
        }
    }

    /**
     * How a relay serves.
     *
     * @param subscribers at most; further ones are refused
     * @param creditBytes that one subscriber may have unacknowledged; also the size of a snapshot's parts
     * @param catchUpBytesPerSecond for all that catch up together, by changes or snapshots
     * @param catchUpBurstBytes that may go at once after a pause
     * @param snapshots of different positions that are kept while somebody receives them
     * @param heartbeatIntervalUs between two heartbeats
     * @param acknowledgeTimeoutUs a subscriber that leaves a batch unacknowledged for so long is dropped
     * @param silenceTimeoutUs a subscriber that says nothing for so long is dropped
     * @param retryAfterUs told to those that are refused
     * @param stallUs a timer that comes later than this shows a stall of the relay's own
     */
    public record RelaySettings(
            int subscribers,
            int creditBytes,
            long catchUpBytesPerSecond,
            int catchUpBurstBytes,
            int snapshots,
            long heartbeatIntervalUs,
            long acknowledgeTimeoutUs,
            long silenceTimeoutUs,
            long retryAfterUs,
            long stallUs) {
        public RelaySettings {
            requirePositive(
                    "a relay's settings",
                    subscribers,
                    creditBytes,
                    catchUpBytesPerSecond,
                    catchUpBurstBytes,
                    snapshots,
                    heartbeatIntervalUs,
                    acknowledgeTimeoutUs,
                    silenceTimeoutUs,
                    retryAfterUs,
                    stallUs);
        }

        /** The same with other bounds on subscribers, credit and catch-up. */
        public RelaySettings withBounds(int most, int credit, long bytesPerSecond, int burstBytes) {
            return new RelaySettings(
                    most,
                    credit,
                    bytesPerSecond,
                    burstBytes,
                    snapshots,
                    heartbeatIntervalUs,
                    acknowledgeTimeoutUs,
                    silenceTimeoutUs,
                    retryAfterUs,
                    stallUs);
        }
    }

    /**
     * How a subscriber finds and watches its relay.
     *
     * @param heartbeatTimeoutUs without any message after which the relay is given up
     * @param connectTimeoutUs from dialling to the first message; doubles with each failure in a row
     * @param connectTimeoutMostUs to which it doubles
     * @param backoffUs the pause before the first attempt after a failure is drawn from 0 to this; doubles
     * @param backoffMostUs to which it doubles
     * @param avoidUs for how long a candidate that failed is passed over where others are left; doubles
     * @param avoidMostUs to which it doubles
     * @param returnUs on another than its first choice it looks so often, from half to one and a half times,
     *     whether a better one may be asked again
     * @param stableUs a link that holds so long ends the counting of failures
     * @param sourceAgeUs a relay whose own source is silent for longer is left for another
     * @param reportIntervalUs between two acknowledgements that only report
     * @param keepaliveIntervalUs after which it acknowledges again as a sign of life
     * @param askAgainUs without progress although the relay has more, after which it subscribes
     *     again; doubles
     * @param askAgainMostUs to which it doubles
     */
    public record SubscriberSettings(
            long heartbeatTimeoutUs,
            long connectTimeoutUs,
            long connectTimeoutMostUs,
            long backoffUs,
            long backoffMostUs,
            long avoidUs,
            long avoidMostUs,
            long returnUs,
            long stableUs,
            long sourceAgeUs,
            long reportIntervalUs,
            long keepaliveIntervalUs,
            long askAgainUs,
            long askAgainMostUs) {
        public SubscriberSettings {
            requirePositive(
                    "a subscriber's settings",
                    heartbeatTimeoutUs,
                    connectTimeoutUs,
                    connectTimeoutMostUs,
                    backoffUs,
                    backoffMostUs,
                    avoidUs,
                    avoidMostUs,
                    returnUs,
                    stableUs,
                    sourceAgeUs,
                    reportIntervalUs,
                    keepaliveIntervalUs,
                    askAgainUs,
                    askAgainMostUs);
        }
    }
}
