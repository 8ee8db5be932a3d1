package holdproxy.harness;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.toml.TomlText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Writes a daemon's configuration file and parses the event lines of its log. */
public final class DaemonFormat {
    /** Platform settings that the program does not use, and that a daemon's file rejects as unknown. */
    private static final List<String> UNSUPPORTED_SETTINGS = List.of("domainType");

    private DaemonFormat() {}

    /** An event that a process logged. {@code clockUs}: time on its own monotonic clock. */
    public record LoggedEvent(String clockUs, String text) {}

    /**
     * The sections of a daemon's file for cooperation with the other daemons.
     *
     * @param listen address for the other daemons
     * @param seeds addresses of the first daemons to contact
     * @param routes address of each other daemon by its name
     * @param voters names of the members of the consensus group
     * @param drills number of leases that it tries to hold at the guarded resource
     * @param leaseMs duration of those leases, in milliseconds
     * @param resource address of the guarded resource
     */
    public record PeerSettings(
            String listen,
            List<String> seeds,
            Map<String, String> routes,
            List<String> voters,
            int drills,
            int leaseMs,
            String resource) {
        String toml() {
            StringBuilder text =
                    new StringBuilder(
                            "[membership]\nlisten = "
                                    + DaemonFormat.toml(listen)
                                    + "\nseeds = "
                                    + DaemonFormat.toml(seeds)
                                    + "\nroutes = "
                                    + DaemonFormat.toml(routes)
                                    + "\n");
            if (!voters.isEmpty()) {
                text.append("[consensus]\nvoters = ")
                        .append(DaemonFormat.toml(voters))
                        .append('\n');
            }
            for (int i = 0; i < drills; i++) {
                text.append("[[drill]]\nrole = \"drill-")
                        .append(i)
                        .append("\"\nlease_ms = ")
                        .append(leaseMs)
                        .append("\nresource = ")
                        .append(DaemonFormat.toml(resource))
                        .append('\n');
            }
            return text.toString();
        }
    }

    /** A daemon's file with the settings of {@code json}, a configuration of the platform. */
    public static String configuration(
            String name,
            String listen,
            String discovery,
            Path folder,
            PeerSettings cooperation,
            String json) {
        Map<String, Object> settings = map(object(json).get("settings"));
        UNSUPPORTED_SETTINGS.forEach(settings::remove);
        map(settings.get("familyInfo")).remove("mode");
        return "name = "
                + toml(name)
                + "\nlisten = "
                + toml(listen)
                + "\ndiscovery = "
                + toml(discovery)
                + "\nfolder = "
                + toml(folder.toString())
                + "\nsettings = "
                + toml(settings)
                + "\n"
                + cooperation.toml();
    }

    /** The event in a line of a daemon's log; empty for the proxy's ordinary log lines. */
    public static Optional<LoggedEvent> parseEvent(String line) {
        if (!line.startsWith("{")) {
            return Optional.empty();
        }
        Map<String, Object> event = object(line);
        if (!(event.get("kvpList") instanceof List<?> pairs)) {
            return Optional.empty();
        }
        String clockUs = "";
        StringBuilder what = new StringBuilder(String.valueOf(event.get("message")));
        for (Object pair : pairs) {
            for (Map.Entry<String, Object> each : map(pair).entrySet()) {
                if (each.getKey().equals("mono_us")) {
                    clockUs = each.getValue().toString();
                } else {
                    what.append(' ').append(each.getKey()).append('=').append(each.getValue());
                }
            }
        }
        return clockUs.isEmpty()
                ? Optional.empty()
                : Optional.of(new LoggedEvent(clockUs, what.toString()));
    }

    private static Map<String, Object> object(String json) {
        try {
            return JSON.std.mapFrom(json);
        } catch (IOException e) {
            throw new UncheckedIOException("not a JSON object: " + json, e);
        }
    }

    @SuppressWarnings("unchecked") // the parser makes only maps with string keys
    private static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    /** A JSON value as a single line of TOML. */
    static String toml(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .map(e -> toml(e.getKey()) + " = " + toml(e.getValue()))
                    .collect(Collectors.joining(", ", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream()
                    .map(DaemonFormat::toml)
                    .collect(Collectors.joining(", ", "[", "]"));
        }
        return value instanceof String text ? TomlText.quoted(text) : String.valueOf(value);
    }
}
