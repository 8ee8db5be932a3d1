package holdproxy.simulation;

import holdproxy.emulator.Scheduler;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoRegistration;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * An event loop in virtual time: that of the site, or that of one start of a proxy, which can be paused
 * or ended. Netty's {@code ManualIoEventLoop} is identified by its thread, but here all loops share one
 * thread: a task for another loop's channels has to wait until that loop runs, as between processes.
 */
final class VirtualLoop extends AbstractScheduledEventExecutor implements IoEventLoop, Scheduler {
    private final VirtualTime time;
    private final boolean strict;
    private final Thread thread = Thread.currentThread();
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final IoHandler handler;
    private boolean running;
    private boolean ended;
    private long heldUntilNs = Long.MIN_VALUE;

    /**
     * {@code strict}: an exception from a task ends the run; otherwise it is logged, as in production.
     */
    VirtualLoop(VirtualTime time, boolean strict) {
        this.time = time;
        this.strict = strict;
        handler = LocalIoHandler.newFactory().newHandler(this);
    }

    @Override
    public long nowUs() {
        return time.nowUs();
    }

    @Override
    public void schedule(long delayUs, Runnable task) {
        schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    }

    /** Pauses the loop for this many microseconds from now: no task runs, whatever is due. */
    void pause(long us) {
        heldUntilNs = Math.max(heldUntilNs, time.nowNs() + us * 1000);
    }

    /** Ends the process: this task and those that it triggers run at once, and nothing runs after. */
    void end(Runnable last) {
        if (!ended) {
            tasks.clear();
            tasks.add(last);
            boolean outer = running;
            running = true;
            runTasks();
            running = outer;
            ended = true;
        }
    }

    boolean ended() {
        return ended;
    }

    /** Time of the next task, by the ticker. */
    long nextNs() {
        if (ended) {
            return Long.MAX_VALUE;
        }
        long waitNs = nextScheduledTaskNano();
        long dueNs =
                !tasks.isEmpty()
                        ? time.nowNs()
                        : waitNs < 0 ? Long.MAX_VALUE : time.nowNs() + waitNs;
        return Math.max(dueNs, heldUntilNs);
    }

    /** Runs the tasks that are due; returns whether there were any. */
    boolean runDue() {
        if (nextNs() > time.nowNs()) {
            return false;
        }
        boolean outer = running;
        running = true;
        try {
            boolean ran = !tasks.isEmpty();
            runTasks();
            for (Runnable due = nextDue(); due != null; due = nextDue()) {
                tasks.add(due);
                runTasks();
                ran = true;
            }
            return ran;
        } finally {
            running = outer;
        }
    }

    private Runnable nextDue() {
        return pollScheduledTask(time.nowNs());
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            if (strict) {
                task.run();
            } else {
                safeExecute(task);
            }
        }
    }

    // ---- Netty's EventLoop interface ----

    @Override
    public Ticker ticker() {
        return time.ticker();
    }

    @Override
    public boolean inEventLoop(Thread asking) {
        return running && asking == thread;
    }

    @Override
    public void execute(Runnable task) {
        if (!ended) {
            tasks.add(task);
        }
    }

    @Override
    public IoEventLoop next() {
        return this;
    }

    @Override
    public IoEventLoopGroup parent() {
        return null;
    }

    @Override
    public ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Override
    @Deprecated
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public Future<IoRegistration> register(IoHandle handle) {
        Promise<IoRegistration> promise = newPromise();
        try {
            promise.setSuccess(handler.register(handle));
        } catch (Exception e) {
            promise.setFailure(e);
        }
        return promise;
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handle) {
        return handler.isCompatible(handle);
    }

    @Override
    public boolean isIoType(Class<? extends IoHandler> type) {
        return type.isInstance(handler);
    }

    @Override
    public boolean isShuttingDown() {
        return false;
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return false;
    }

    @Override
    @Deprecated
    public void shutdown() {
        throw new UnsupportedOperationException(
                "a virtual-time event loop cannot be shut down; it ends with its process");
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        throw new UnsupportedOperationException(
                "a virtual-time event loop cannot be shut down; it ends with its process");
    }

    @Override
    public Future<?> terminationFuture() {
        throw new UnsupportedOperationException(
                "a virtual-time event loop cannot be shut down; it ends with its process");
    }
}
