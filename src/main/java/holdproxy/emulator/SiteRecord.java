package holdproxy.emulator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;

/** The event record of an emulated site, in order of occurrence. */
public final class SiteRecord {
    private final List<Event> events = new ArrayList<>();
    private final Consumer<Event> listener;

    /** Creates a record that keeps its events in memory only. */
    public SiteRecord() {
        this(e -> {});
    }

    /** Creates a record that also passes each event to {@code also} when it is added. */
    public SiteRecord(Consumer<Event> listener) {
        this.listener = listener;
    }

    /** Appends an event. */
    public void add(long us, Event.Kind kind, String where, String id, String detail) {
        Event event = new Event(us, kind, where, id, detail);
        events.add(event);
        listener.accept(event);
    }

    /** All events, in the order in which they were added. */
    public List<Event> events() {
        return Collections.unmodifiableList(events);
    }

    /** SHA-256 over all events: equal for two runs with the same events in the same order. */
    public String hash() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (Event e : events) {
                digest.update((e + "\n").getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
