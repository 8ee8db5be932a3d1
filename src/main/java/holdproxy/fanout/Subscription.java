package holdproxy.fanout;

/**
 * What a relay knows of one subscriber. It has no queue: what it gets next is read from the shared
 * window.
 */
final class Subscription {
    final long link;
    final String name;

    /** Everything to here has been sent. */
    Position sent;

    /** What it is known to hold. */
    Position held;

    /** It has had everything since its last subscribing, and gets new changes without pacing. */
    boolean live;

    /** That it is receiving, else null. */
    FrozenSnapshot snapshot;

    int nextPart;

    /**
     * It has received one since it fell behind, and gets changes from there as long as the window
     * has them.
     */
    boolean hadSnapshot;

    /** The batch or part that waits for its acknowledgement, else null. */
    Message unacknowledged;

    /** A second batch or part has been sent while one was unacknowledged. */
    boolean repeats;

    long sentUs;
    long heardUs;
    CoverageReport report = CoverageReport.EMPTY;

    Subscription(long link, String name) {
        this.link = link;
        this.name = name;
    }

    /**
     * It goes on from this position. What was under way may have been lost, so that it is sent once more; who
     * subscribes again without acknowledging that waits, and is dropped in the end as any slow reader.
     */
    void restart(Position from) {
        sent = from;
        held = from;
        fallBehind();
        abandonSnapshot();
        if (unacknowledged != null && !repeats) {
            unacknowledged = null;
            repeats = true;
        }
    }

    void fallBehind() {
        live = false;
        hadSnapshot = false;
    }

    void abandonSnapshot() {
        snapshot = null;
        nextPart = 0;
    }

    void sent(Message message, long nowUs) {
        if (unacknowledged == null) {
            sentUs = nowUs;
        }
        unacknowledged = message;
    }

    void acknowledged(Message.Acknowledge acknowledge) {
        held = acknowledge.received();
        if (snapshot == null && held.epoch() == sent.epoch() && held.isAfter(sent)) {
            sent = held;
        }
        if (unacknowledged != null && covers(acknowledge)) {
            unacknowledged = null;
            repeats = false;
        }
    }

    private boolean covers(Message.Acknowledge acknowledge) {
        if (unacknowledged instanceof Message.Batch batch) {
            return !batch.last().isAfter(acknowledge.received());
        }
        Message.SnapshotPart part = (Message.SnapshotPart) unacknowledged;
        return !part.position().isAfter(acknowledge.received())
                || part.position().equals(acknowledge.assembling())
                        && acknowledge.parts() > part.index();
    }
}
