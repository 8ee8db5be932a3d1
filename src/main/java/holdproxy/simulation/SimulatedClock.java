package holdproxy.simulation;

import holdproxy.emulator.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: advances from task to task; tasks due at the same time run in the order they were
 * scheduled.
 */
public final class SimulatedClock implements Scheduler {
    private record Task(long us, long order, Runnable what) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::us).thenComparingLong(Task::order));
    private long nowUs;
    private long order;

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public void schedule(long delayUs, Runnable task) {
        tasks.add(new Task(nowUs + Math.max(0, delayUs), order++, task));
    }

    /** Runs all tasks due up to the given time. */
    public void run(long untilUs) {
        while (!tasks.isEmpty() && tasks.peek().us <= untilUs) {
            Task next = tasks.poll();
            nowUs = next.us;
            next.what.run();
        }
        nowUs = untilUs;
    }
}
