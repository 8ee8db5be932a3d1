package holdproxy.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * The time that MicroRaft goes by: a monotonic clock that is handed in, running faster than the true one,
 * since the library counts heartbeats in whole seconds and a fleet wants them in fifths of one.
 */
final class ScaledClock extends Clock implements RaftNodeExecutor {
    /** So many of the library's seconds pass in one. */
    static final int FASTER = 5;

    private final RaftGroup.Host host;

    ScaledClock(RaftGroup.Host host) {
        this.host = host;
    }

    @Override
    public long millis() {
        return host.nowUs() * FASTER / 1000;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public void execute(Runnable task) {
        host.after(0, guarded(task));
    }

    @Override
    public void submit(Runnable task) {
        host.after(0, guarded(task));
    }

    /** A task of the library's that fails is told of, and ends nothing else. */
    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                host.failed(e);
            }
        };
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        host.after(unit.toMicros(delay) / FASTER, guarded(task));
    }
}
