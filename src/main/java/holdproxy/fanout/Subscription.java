package holdproxy.fanout;

/**
 * A relay's state for one subscriber. There is no queue for each subscriber: the next changes to send
 * are read from the shared window.
 */
final class Subscription {
    final long link;
    final String name;

    /** Everything up to this position has been sent. */
    Position sentPosition;

    /** The position that the subscriber last reported as held. */
    Position heldPosition;

    /**
     * The subscriber has been sent everything since it last subscribed, and gets new changes without
     * pacing.
     */
    boolean live;

    /** The snapshot being sent, or null. */
    FrozenSnapshot snapshot;

    int nextPartIndex;

    /**
     * A snapshot has been sent since the subscriber fell behind. It is sent changes from there on for
     * as long as the window covers them, even if they are larger than the state.
     */
    boolean snapshotSent;

    /** The batch or snapshot part that has not been acknowledged yet, or null. */
    Message unacknowledged;

    /**
     * The subscriber subscribed again before acknowledging, which allowed one further batch or part;
     * no more is sent until it acknowledges.
     */
    boolean resent;

    long unacknowledgedSinceUs;
    long lastReceivedUs;
    CoverageReport report = CoverageReport.EMPTY;

    Subscription(long link, String name) {
        this.link = link;
        this.name = name;
    }

    /**
     * Continues from this position. An unacknowledged message may have been lost, so sending resumes
     * at once, but only one time: a subscriber that subscribes again without acknowledging has to wait,
     * and is eventually dropped like any slow reader.
     */
    void restart(Position from) {
        sentPosition = from;
        heldPosition = from;
        markBehind();
        abandonSnapshot();
        if (unacknowledged != null && !resent) {
            unacknowledged = null;
            resent = true;
        }
    }

    void markBehind() {
        live = false;
        snapshotSent = false;
    }

    void abandonSnapshot() {
        snapshot = null;
        nextPartIndex = 0;
    }

    void recordSent(Message message, long nowUs) {
        if (unacknowledged == null) {
            unacknowledgedSinceUs = nowUs;
        }
        unacknowledged = message;
    }

    void recordAcknowledgement(Message.Acknowledge acknowledge) {
        heldPosition = acknowledge.received();
        if (snapshot == null
                && heldPosition.epoch() == sentPosition.epoch()
                && heldPosition.isAfter(sentPosition)) {
            sentPosition = heldPosition;
        }
        if (unacknowledged != null && coversUnacknowledged(acknowledge)) {
            unacknowledged = null;
            resent = false;
        }
    }

    private boolean coversUnacknowledged(Message.Acknowledge acknowledge) {
        if (unacknowledged instanceof Message.Batch batch) {
            return !batch.last().isAfter(acknowledge.received());
        }
        Message.SnapshotPart part = (Message.SnapshotPart) unacknowledged;
        return !part.position().isAfter(acknowledge.received())
                || part.position().equals(acknowledge.assembling())
                        && acknowledge.parts() > part.index();
    }
}
