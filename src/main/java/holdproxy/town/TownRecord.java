package holdproxy.town;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;

/** All that happened in a town, in its order. */
public final class TownRecord {
    private final List<Event> events = new ArrayList<>();

    public void add(long us, Event.Kind kind, String where, String id, String detail) {
        events.add(new Event(us, kind, where, id, detail));
    }

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
