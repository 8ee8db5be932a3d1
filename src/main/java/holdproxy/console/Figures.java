package holdproxy.console;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * What operators read. One thread writes, any may read: a figure is what was counted up to that moment,
 * however late the writer runs. All counts start at 0 with the process; only {@code active} falls.
 */
public final class Figures {
    /** How the requests of one class ended. Each request that was taken is counted once, in one of them. */
    public static final class Outcomes {
        public final Count ok = new Count();
        public final Count shed = new Count();
        public final Count errors = new Count();

        private Outcomes() {}
    }

    /** A number with one writer. */
    public static final class Count {
        private final AtomicLong value = new AtomicLong();

        /** Adds to the figure. */
        public void add(long change) {
            value.lazySet(value.getPlain() + change); // one writer: nothing to compare with
        }

        /** Replaces the figure. */
        public void set(long now) {
            value.lazySet(now);
        }

        /** The present figure. */
        public long get() {
            return value.get();
        }
    }

    /** Attempts whose last byte has gone to a cache node. */
    public final Count tries = new Count();

    /** Requests taken and not ended. */
    public final Count active = new Count();

    /** Cache nodes in the list. */
    public final Count poolSize = new Count();

    /** Files taken and turned down at SIGHUP. */
    public final Count configApplied = new Count();

    public final Count configRejected = new Count();

    /** Listed cache nodes that are avoided now. */
    public final Count poolEjected = new Count();

    /**
     * Where settings are published to a fleet: the version in force, and since when it is not known to be the
     * newest.
     */
    private volatile Published published;

    /** A version of the published state; {@code ageS}: -1 where it was never known to be the newest. */
    private record Published(long epoch, long number, long ageS) {}

    /** By class; a class that the settings have dropped keeps its counts. */
    private final Map<String, Outcomes> outcomes = new ConcurrentSkipListMap<>();

    /** The outcomes of one class of requests. */
    public Outcomes of(String requestClass) {
        return outcomes.computeIfAbsent(requestClass, name -> new Outcomes());
    }

    /** From now on the figures name this version of the published settings, which is in force. */
    public void published(long epoch, long number, long ageS) {
        published = new Published(epoch, number, ageS);
    }

    /** A line {@code name=value} for each figure. */
    public String text() {
        StringBuilder text = new StringBuilder(512);
        outcomes.forEach(
                (name, o) -> {
                    line(text, "responses." + name + ".ok", o.ok::get);
                    line(text, "responses." + name + ".shed", o.shed::get);
                    line(text, "responses." + name + ".errors", o.errors::get);
                });
        line(text, "tries", tries::get);
        line(text, "active", active::get);
        line(text, "pool_size", poolSize::get);
        line(text, "pool_ejected", poolEjected::get);
        line(text, "config_applied", configApplied::get);
        line(text, "config_rejected", configRejected::get);
        Published now = published;
        if (now != null) {
            line(text, "published_epoch", now::epoch);
            line(text, "published_number", now::number);
            line(text, "published_age_s", now::ageS);
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, LongSupplier value) {
        text.append("svc.").append(name).append('=').append(value.getAsLong()).append("\r\n");
    }
}
