package holdproxy.simulation;

/** A simulated process, which can be suspended or ended. */
abstract class SimulatedProcess {
    boolean ended;
    private final SimulatedClock time;

    /** It is suspended until this true time. */
    private long suspendedUntilUs;

    SimulatedProcess(SimulatedClock time) {
        this.time = time;
    }

    /** Suspends it from now on for the given true time. */
    final void suspend(long forUs) {
        suspendedUntilUs = Math.max(suspendedUntilUs, time.nowUs() + forUs);
    }

    /** Runs the task now, or when the process resumes if it is suspended; never if it has ended. */
    final void run(Runnable task) {
        if (ended) {
            return;
        }
        if (time.nowUs() < suspendedUntilUs) {
            time.schedule(suspendedUntilUs - time.nowUs(), () -> run(task));
        } else {
            task.run();
        }
    }
}
