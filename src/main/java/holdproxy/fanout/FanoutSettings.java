package holdproxy.fanout;

/**
 * All limits and times of the fan-out. Times are in microseconds, sizes in bytes.
 *
 * @param limits on stored and transmitted data
 * @param relay how a relay serves its subscribers
 * @param subscriber how a subscriber selects and monitors its relay
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
                        + " bytes is below the largest change of "
                        + limits.changeBytes);
        require(
                relay.catchUpBurstBytes >= relay.creditBytes,
                "the catch-up burst of "
                        + relay.catchUpBurstBytes
                        + " bytes is below the credit of "
                        + relay.creditBytes);
        require(
                limits.frameBytes >= 2 * relay.creditBytes,
                "the frame limit of "
                        + limits.frameBytes
                        + " bytes is below twice the credit of "
                        + relay.creditBytes);
        require(
                subscriber.heartbeatTimeoutUs >= 2 * relay.heartbeatIntervalUs,
                "the heartbeat time-out of "
                        + subscriber.heartbeatTimeoutUs
                        + " us is below two heartbeat intervals of "
                        + relay.heartbeatIntervalUs);
        require(
                relay.silenceTimeoutUs >= 2 * subscriber.keepaliveIntervalUs,
                "the silence time-out of "
                        + relay.silenceTimeoutUs
                        + " us is below two keepalive intervals of "
                        + subscriber.keepaliveIntervalUs);
    }

    /** A copy with other limits. */
    public FanoutSettings with(Limits other) {
        return new FanoutSettings(other, relay, subscriber);
    }

    /** A copy with other relay settings. */
    public FanoutSettings with(RelaySettings other) {
        return new FanoutSettings(limits, other, subscriber);
    }

    /** A copy with other subscriber settings. */
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
            require(value > 0, name + " must be positive, not " + value);
        }
    }

    /**
     * Upper limits on stored and transmitted data.
     *
     * @param keyBytes size of a key, in UTF-8
     * @param valueBytes size of a value
     * @param changeBytes size of a change, estimated by an upper bound of its encoding
     * @param changeKeys number of keys that a change puts and deletes
     * @param stateKeys number of keys in a state
     * @param stateBytes total size of the keys and values of a state
     * @param windowChanges number of recent changes kept for subscribers that are behind
     * @param windowBytes total size of these changes
     * @param rememberedPublications number of publication identifiers kept to detect repeated publications
     * @param nameBytes size of a process name or a publication identifier, in UTF-8
     * @param reasonCharacters length of a rejection reason; longer ones are truncated
     * @param reportedPositions number of positions in a coverage report
     * @param reportedRejections number of rejections in a coverage report
     * @param frameBytes size of an encoded message
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
            int rememberedPublications,
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
                    rememberedPublications,
                    nameBytes,
                    reasonCharacters,
                    reportedPositions,
                    reportedRejections,
                    frameBytes);
        }

        /** A copy with another size of the window of recent changes. */
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
                    rememberedPublications,
                    nameBytes,
                    reasonCharacters,
                    reportedPositions,
                    reportedRejections,
                    frameBytes);
        }
    }

    /**
     * How a relay serves its subscribers.
     *
     * @param maxSubscribers maximum number of subscribers; further ones are refused
     * @param creditBytes maximum unacknowledged bytes for each subscriber; also the size of snapshot parts
     * @param catchUpBytesPerSecond rate shared by all subscribers that catch up, by changes or snapshots
     * @param catchUpBurstBytes catch-up bytes that may be sent at once after a pause
     * @param snapshots maximum number of snapshots, at different positions, kept while being sent
     * @param heartbeatIntervalUs interval between heartbeats
     * @param acknowledgeTimeoutUs a subscriber that does not acknowledge a message for this long is dropped
     * @param silenceTimeoutUs a subscriber that sends nothing for this long is dropped
     * @param retryAfterUs time after which a refused subscriber may try again
     * @param stallThresholdUs a timer that fires later than this shows that the relay's own process stalled
     */
    public record RelaySettings(
            int maxSubscribers,
            int creditBytes,
            long catchUpBytesPerSecond,
            int catchUpBurstBytes,
            int snapshots,
            long heartbeatIntervalUs,
            long acknowledgeTimeoutUs,
            long silenceTimeoutUs,
            long retryAfterUs,
            long stallThresholdUs) {
        public RelaySettings {
            requirePositive(
                    "a relay's settings",
                    maxSubscribers,
                    creditBytes,
                    catchUpBytesPerSecond,
                    catchUpBurstBytes,
                    snapshots,
                    heartbeatIntervalUs,
                    acknowledgeTimeoutUs,
                    silenceTimeoutUs,
                    retryAfterUs,
                    stallThresholdUs);
        }

        /** A copy with other limits on subscribers, credit and catch-up. */
        public RelaySettings withBounds(
                int maxSubscribers, int credit, long bytesPerSecond, int burstBytes) {
            return new RelaySettings(
                    maxSubscribers,
                    credit,
                    bytesPerSecond,
                    burstBytes,
                    snapshots,
                    heartbeatIntervalUs,
                    acknowledgeTimeoutUs,
                    silenceTimeoutUs,
                    retryAfterUs,
                    stallThresholdUs);
        }
    }

    /**
     * How a subscriber selects and monitors its relay.
     *
     * @param heartbeatTimeoutUs a relay that sends no message for this long is given up
     * @param connectTimeoutUs from dialling to the first message; doubles with each consecutive failure
     * @param connectTimeoutMaxUs upper limit of the doubled connect time-out
     * @param backoffUs the pause before the first attempt after a failure is random from 0 to this; doubles
     *     with each consecutive failure
     * @param backoffMaxUs upper limit of the doubled pause
     * @param avoidUs how long a failed candidate is skipped while others are available; doubles with each
     *     consecutive failure
     * @param avoidMaxUs upper limit of the doubled time
     * @param preferredCheckIntervalUs mean interval between checks whether a more preferred relay may be
     *     tried again, randomized from half to one and a half times
     * @param stableAfterUs a link that has held for this long resets the failure counters
     * @param maxSourceAgeUs a relay whose data was last known to be the newest longer ago than this
     *     is left for another one
     * @param reportIntervalUs interval at which a relay checks whether its coverage report has changed
     * @param keepaliveIntervalUs time after which an acknowledgement is repeated as a keepalive
     * @param resubscribeUs time without progress, although the relay has newer data, after which the
     *     subscriber subscribes again; doubles
     * @param resubscribeMaxUs upper limit of the doubled time
     */
    public record SubscriberSettings(
            long heartbeatTimeoutUs,
            long connectTimeoutUs,
            long connectTimeoutMaxUs,
            long backoffUs,
            long backoffMaxUs,
            long avoidUs,
            long avoidMaxUs,
            long preferredCheckIntervalUs,
            long stableAfterUs,
            long maxSourceAgeUs,
            long reportIntervalUs,
            long keepaliveIntervalUs,
            long resubscribeUs,
            long resubscribeMaxUs) {
        public SubscriberSettings {
            requirePositive(
                    "a subscriber's settings",
                    heartbeatTimeoutUs,
                    connectTimeoutUs,
                    connectTimeoutMaxUs,
                    backoffUs,
                    backoffMaxUs,
                    avoidUs,
                    avoidMaxUs,
                    preferredCheckIntervalUs,
                    stableAfterUs,
                    maxSourceAgeUs,
                    reportIntervalUs,
                    keepaliveIntervalUs,
                    resubscribeUs,
                    resubscribeMaxUs);
        }
    }
}
