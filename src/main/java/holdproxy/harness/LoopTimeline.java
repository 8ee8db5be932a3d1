package holdproxy.harness;

import holdproxy.emulator.Scheduler;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Real time: a monotonic clock that starts at 0 on creation, and the timers of an event loop. */
public final class LoopTimeline implements Scheduler {
    private final EventLoop loop;
    private final long startNs = System.nanoTime();

    /** Starts the clock; tasks run on {@code loop}. */
    public LoopTimeline(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nowUs() {
        return (System.nanoTime() - startNs) / 1000;
    }

    @Override
    public void schedule(long delayUs, Runnable task) {
        loop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }
}
