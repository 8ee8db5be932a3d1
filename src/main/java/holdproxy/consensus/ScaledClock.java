package holdproxy.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * Clock and executor for MicroRaft, based on the host's monotonic clock but running faster: the library
 * configures heartbeats in whole seconds, while the fleet needs one every fifth of a second.
 */
final class ScaledClock extends Clock implements RaftNodeExecutor {
    /** Seconds of the library's time in one real second. */
    static final int SPEEDUP = 5;

    private final RaftGroup.Host host;

    ScaledClock(RaftGroup.Host host) {
        this.host = host;
    }

    @Override
    public long millis() {
        return host.nowUs() * SPEEDUP / 1000;
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

    /** Reports a failure of the library's task to the host instead of passing it on. */
    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                host.taskFailed(e);
            }
        };
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        host.after(unit.toMicros(delay) / SPEEDUP, guarded(task));
    }
}
