package holdproxy.rig;

import holdproxy.town.Timeline;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** The monotonic clock and the timers of a real event loop, from when this was made. */
public final class LoopTimeline implements Timeline {
    private final EventLoop loop;
    private final long startNs = System.nanoTime();

    /** A timeline that runs its tasks on this event loop, by the system clock. */
    public LoopTimeline(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nowUs() {
        return (System.nanoTime() - startNs) / 1000;
    }

    @Override
    public void after(long delayUs, Runnable task) {
        loop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }
}
