package holdproxy.net;

import java.util.function.LongSupplier;

/**
 * How long a client's connection may have had input that has not been handled. The client may have left as
 * long ago, since the end of a connection is read after all that was sent on it.
 */
final class InputBacklog {
    private final InputScheduler scheduler;
    private final LongSupplier lastReadUs;

    /** More input is there, or may be: the socket has not been found empty since this began. */
    private boolean behind;

    /** Since when; meaningless unless {@link #behind}. */
    private long behindSinceUs;

    /** How many times input has been read or decoded. */
    private int reads;

    private boolean paused;
    private boolean checkScheduled;

    /**
     * {@code lastReadUs}: when at the latest all sockets were read before the present iteration of the loop,
     * in microseconds.
     */
    InputBacklog(InputScheduler scheduler, LongSupplier lastReadUs) {
        this.scheduler = scheduler;
        this.lastReadUs = lastReadUs;
    }

    /** Some input was left where it is: undecoded, or in the system. */
    void begin() {
        if (!behind) {
            behind = true;
            restart();
        }
    }

    /** Counts from now on. */
    void restart() {
        behindSinceUs = lastReadUs.getAsLong();
    }

    /** Input has been read or decoded. */
    void readDone() {
        reads++;
    }

    /** The connection is not read until {@link #resume}. */
    void pause() {
        paused = true;
        begin();
    }

    /** The connection is read on, so that an iteration of the loop shows whether more input is there. */
    void resume() {
        paused = false;
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (behind && !checkScheduled) {
            checkScheduled = true;
            int readsBefore = reads;
            scheduler.afterNextReads(() -> check(readsBefore));
        }
    }

    private void check(int readsBefore) {
        checkScheduled = false;
        if (paused) {
            return;
        }
        if (reads == readsBefore) {
            behind = false;
        } else {
            scheduleCheck();
        }
    }

    /** 0 if the socket was found empty. */
    long ageUs(long now) {
        return behind ? now - behindSinceUs : 0;
    }
}
