package holdproxy.town;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;

/** All that happened in a town, in its order. */
public final class TownRecord {
    private final List<Event> events = new ArrayList<>();
    private final Consumer<Event> also;

    /** Keeps events in memory alone. */
    public TownRecord() {
        this(e -> {});
    }

    /** {@code also} is told of each event as it is put down. */
    public TownRecord(Consumer<Event> also) {
        this.also = also;
    }

    /** Appends an event. */
    public void add(long us, Event.Kind kind, String where, String id, String detail) {
        Event event = new Event(us, kind, where, id, detail);
        events.add(event);
        also.accept(event);
    }

    /** All events, in the order in which they were added. */
    public List<Event> events() {
        return Collections.unmodifiableList(events);
    }

    /** The same for two runs that went the same way, event by event. */
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
