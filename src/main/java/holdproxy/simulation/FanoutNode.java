package holdproxy.simulation;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** One incarnation of a process in the fan-out simulation, at one location. */
class FanoutNode extends SimulatedProcess {
    final String name;
    final String region;
    final String site;
    private final SimulatedClock time;

    FanoutNode(SimulatedClock time, String name, String region, String site) {
        super(time);
        this.time = time;
        this.name = name;
        this.region = region;
        this.site = site;
    }

    /** Calls {@code tick} whenever it is due, as long as the process runs. */
    final class Timer {
        private final LongSupplier dueUs;
        private final LongConsumer tick;
        private long setUs = Long.MAX_VALUE;

        Timer(LongSupplier dueUs, LongConsumer tick) {
            this.dueUs = dueUs;
            this.tick = tick;
        }

        /** Must be called after every event that may have changed when the next tick is due. */
        void set() {
            long nextUs = Math.max(dueUs.getAsLong(), time.nowUs());
            if (nextUs < setUs) {
                setUs = nextUs;
                time.schedule(nextUs - time.nowUs(), () -> run(() -> fire(nextUs)));
            }
        }

        private void fire(long ofUs) {
            if (ofUs != setUs) {
                return;
            }
            setUs = Long.MAX_VALUE;
            if (dueUs.getAsLong() <= time.nowUs()) {
                tick.accept(time.nowUs());
            }
            set();
        }
    }
}
