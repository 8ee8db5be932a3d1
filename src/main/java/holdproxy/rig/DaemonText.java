package holdproxy.rig;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.toml.TomlText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** What a daemon reads, its file, and what it writes, its log's lines. */
public final class DaemonText {
    /** Of the platform's settings, those that the program has no use for: unknown in this file. */
    private static final List<String> WITHOUT_USE = List.of("domainType");

    private DaemonText() {}

    /** What a process says that it did. {@code clockUs}: its own monotonic clock. */
    public record Said(String clockUs, String what) {}

    /**
     * What a daemon has to do with the others: where it listens, where it looks, its way to each by name, who
     * votes, and its drills at a resource.
     */
    public record CooperationText(
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
                                    + DaemonText.toml(listen)
                                    + "\nseeds = "
                                    + DaemonText.toml(seeds)
                                    + "\nroutes = "
                                    + DaemonText.toml(routes)
                                    + "\n");
            if (!voters.isEmpty()) {
                text.append("[consensus]\nvoters = ").append(DaemonText.toml(voters)).append('\n');
            }
            for (int i = 0; i < drills; i++) {
                text.append("[[drill]]\nrole = \"drill-")
                        .append(i)
                        .append("\"\nlease_ms = ")
                        .append(leaseMs)
                        .append("\nresource = ")
                        .append(DaemonText.toml(resource))
                        .append('\n');
            }
            return text.toString();
        }
    }

    /** A daemon's file with the settings of the platform's, {@code json}. */
    public static String of(
            String name,
            String listen,
            String discovery,
            Path folder,
            CooperationText cooperation,
            String json) {
        Map<String, Object> settings = map(object(json).get("settings"));
        WITHOUT_USE.forEach(settings::remove);
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

    /** Of a line of its log, if it is an event and not a line of the proxy's in it. */
    public static Optional<Said> said(String line) {
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
                : Optional.of(new Said(clockUs, what.toString()));
    }

    private static Map<String, Object> object(String json) {
        try {
            return JSON.std.mapFrom(json);
        } catch (IOException e) {
            throw new UncheckedIOException("not a JSON object: " + json, e);
        }
    }

    @SuppressWarnings("unchecked") // the parser makes no other maps than these
    private static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    /** A value of JSON on one line of TOML. */
    static String toml(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .map(e -> toml(e.getKey()) + " = " + toml(e.getValue()))
                    .collect(Collectors.joining(", ", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream().map(DaemonText::toml).collect(Collectors.joining(", ", "[", "]"));
        }
        return value instanceof String text ? TomlText.quoted(text) : String.valueOf(value);
    }
}
