package holdproxy.lab;

/** A simulated process, which can be suspended or ended. */
abstract class SimulatedProcess {
    boolean over;
    private final SimulatedClock time;

    /** It is suspended until this true time. */
    private long wakesUs;

    SimulatedProcess(SimulatedClock time) {
        this.time = time;
    }

    /** Suspends it from now on for the given true time. */
    final void standStill(long forUs) {
        wakesUs = Math.max(wakesUs, time.nowUs() + forUs);
    }

    /** Runs the task now, or when the process resumes if it is suspended; never if it has ended. */
    final void run(Runnable task) {
        if (over) {
            return;
        }
        if (time.nowUs() < wakesUs) {
            time.after(wakesUs - time.nowUs(), () -> run(task));
        } else {
            task.run();
        }
    }
}
