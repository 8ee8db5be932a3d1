package holdproxy.lab;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** A process of the fan-out simulation: one life of it, at one place. */
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

    /** Calls {@code tick} when it is due, as long as the process lives. */
    final class Alarm {
        private final LongSupplier dueUs;
        private final LongConsumer tick;
        private long setUs = Long.MAX_VALUE;

        Alarm(LongSupplier dueUs, LongConsumer tick) {
            this.dueUs = dueUs;
            this.tick = tick;
        }

        /** After every event that may have changed what is due. */
        void set() {
            long nextUs = Math.max(dueUs.getAsLong(), time.nowUs());
            if (nextUs < setUs) {
                setUs = nextUs;
                time.after(nextUs - time.nowUs(), () -> run(() -> ring(nextUs)));
            }
        }

        private void ring(long ofUs) {
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
