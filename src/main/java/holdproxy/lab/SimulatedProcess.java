package holdproxy.lab;

/** A simulated process, which can be stalled or over. */
abstract class SimulatedProcess {
    boolean over;
    private final SimulatedClock time;

    /** It stands still until then, in true time. */
    private long wakesUs;

    SimulatedProcess(SimulatedClock time) {
        this.time = time;
    }

    /** From now on it stands still for so long, in true time. */
    final void standStill(long forUs) {
        wakesUs = Math.max(wakesUs, time.nowUs() + forUs);
    }

    /** Now, or once it goes on where it stands still; not at all where it is over. */
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
