package holdproxy.console;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The figures that operators read. One thread writes, any thread may read without waiting for the writer. All
 * counters start at 0 with the process; among the counts of requests only {@code active} falls.
 */
public final class Figures {
    /** Outcomes of the requests of one class. Each accepted request is counted once, in one of them. */
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
            value.lazySet(value.getPlain() + change); // a single writer needs no compare-and-set
        }

        /** Sets the figure. */
        public void set(long now) {
            value.lazySet(now);
        }

        /** Returns the current figure. */
        public long get() {
            return value.get();
        }
    }

    /** Attempts whose last byte was sent to a cache node. */
    public final Count tries = new Count();

    /** Requests accepted and not yet ended. */
    public final Count active = new Count();

    /** Cache nodes in the list. */
    public final Count poolSize = new Count();

    /** Configuration files applied on reload. */
    public final Count configApplied = new Count();

    /** Configuration files rejected on reload. */
    public final Count configRejected = new Count();

    /** Listed cache nodes that are currently avoided. */
    public final Count poolEjected = new Count();

    /** The published version in force and its age; null if no settings are published to this process. */
    private volatile Published publishedVersion;

    /** {@code ageS}: time since the version was last known to be the newest, -1 if it never was. */
    private record Published(long epoch, long number, long ageS) {}

    /** By class; a class that is no longer in the settings keeps its counts. */
    private final Map<String, Outcomes> outcomes = new ConcurrentSkipListMap<>();

    /** The outcomes of one class of requests. */
    public Outcomes forClass(String requestClass) {
        return outcomes.computeIfAbsent(requestClass, name -> new Outcomes());
    }

    /** Sets the version of the published settings that is in force, and its age in seconds. */
    public void setPublished(long epoch, long number, long ageS) {
        publishedVersion = new Published(epoch, number, ageS);
    }

    /** Formats the figures, one {@code name=value} line each. */
    public String text() {
        StringBuilder text = new StringBuilder(512);
        outcomes.forEach(
                (name, o) -> {
                    appendLine(text, "responses." + name + ".ok", o.ok::get);
                    appendLine(text, "responses." + name + ".shed", o.shed::get);
                    appendLine(text, "responses." + name + ".errors", o.errors::get);
                });
        appendLine(text, "tries", tries::get);
        appendLine(text, "active", active::get);
        appendLine(text, "pool_size", poolSize::get);
        appendLine(text, "pool_ejected", poolEjected::get);
        appendLine(text, "config_applied", configApplied::get);
        appendLine(text, "config_rejected", configRejected::get);
        Published current = publishedVersion;
        if (current != null) {
            appendLine(text, "published_epoch", current::epoch);
            appendLine(text, "published_number", current::number);
            appendLine(text, "published_age_s", current::ageS);
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, LongSupplier value) {
        text.append("svc.").append(name).append('=').append(value.getAsLong()).append("\r\n");
    }
}
