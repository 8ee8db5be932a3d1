package holdproxy.net;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import holdproxy.input.RequiredKeys;
import holdproxy.input.SettingsReader;
import holdproxy.policy.Router;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The validated configuration of one proxy; a missing or malformed value raises {@link BadInput}. */
public final class Config {
    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress discovery;

    /** Where the operators' console listens; null for no console. */
    final InetSocketAddress console;

    final long seed;

    /** Bound on the file descriptors that the process holds. */
    final int sockets;

    final Router.Settings settings;
    final List<?> zones;
    final List<?> kinds;

    /** The node list to start with, in discovery's JSON form. */
    final Map<String, Object> initialList;

    private final Map<String, Object> json;

    private Config(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress console,
            Map<String, Object> json) {
        this.name = name;
        this.listen = listen;
        this.discovery = discovery;
        this.console = console;
        this.json = json;
        seed = seed(text(json, "seed", "the configuration"));
        Object limit = object(json, "limits", "the configuration").get("sockets");
        if (!(limit instanceof Number n) || n.intValue() < 128) {
            throw new BadInput(
                    "limits.sockets in the configuration is not a number of at least 128");
        }
        sockets = n.intValue();
        initialList = object(json, "known", "the configuration");
        Map<String, Object> raw = object(json, "settings", "the configuration");
        Map<String, String> pairs = new HashMap<>();
        flatten("", raw, pairs);
        settings = new SettingsReader(pairs).settings();
        try {
            settings.check();
        } catch (IllegalArgumentException e) {
            throw new BadInput("settings in the configuration: " + e.getMessage());
        }
        zones = list(raw, "localities");
        kinds = list(raw, "kinds");
    }

    public String name() {
        return name;
    }

    static Config load(Map<String, String> env) {
        Map<String, Object> json = read(variable(env, "LB_CONFIG"));
        return new Config(
                variable(env, "LB_NAME"),
                address(variable(env, "LB_LISTEN"), "LB_LISTEN"),
                address(variable(env, "LB_DISCOVERY"), "LB_DISCOVERY"),
                console(env, json),
                json);
    }

    /**
     * Reads the file of {@code LB_CONFIG} again, to replace this configuration in a running proxy. Throws
     * {@link BadInput} if anything in it is invalid or cannot change while the proxy runs. The address of
     * discovery comes from the file, as the environment of a running process does not change.
     */
    Config reload(Map<String, String> env) {
        Map<String, Object> now = read(variable(env, "LB_CONFIG"));
        checkShape(now);
        return next(address(text(now, "discovery", "the configuration"), "discovery"), now);
    }

    /** The same from JSON that was read elsewhere and has the form of the {@code LB_CONFIG} file. */
    public Config reload(InetSocketAddress discoveryNow, Map<String, Object> now) {
        checkShape(now);
        return next(discoveryNow, now);
    }

    private void checkShape(Map<String, Object> now) {
        Map<String, Object> inUse = new HashMap<>(json);
        // a running proxy has its node list from discovery: this one is checked only at a start
        inUse.replace("known", Map.of());
        RequiredKeys.check(inUse, now);
    }

    private Config next(InetSocketAddress discoveryNow, Map<String, Object> now) {
        Config next = new Config(name, listen, discoveryNow, console, now);
        SettingsReload.check(settings, next.settings);
        return next;
    }

    /** Older deployments have neither the variable nor the key. */
    private static InetSocketAddress console(Map<String, String> env, Map<String, Object> json) {
        String fromEnvironment = env.getOrDefault("LB_CONSOLE", "").strip();
        if (!fromEnvironment.isEmpty()) {
            return address(fromEnvironment, "LB_CONSOLE");
        }
        return json.get("console") == null
                ? null
                : address(text(json, "console", "the configuration"), "console");
    }

    /** Parses a configuration with the form of the {@code LB_CONFIG} file; no console. */
    public static Config of(
            String name, InetSocketAddress listen, InetSocketAddress discovery, String text) {
        Map<String, Object> json = parse(text);
        if (json == null) {
            throw new BadInput("the configuration of " + name + " is not a JSON object");
        }
        return new Config(name, listen, discovery, null, json);
    }

    /** {@code json} has the form of the {@code LB_CONFIG} file; a null {@code console} means none. */
    public static Config of(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress console,
            Map<String, Object> json) {
        return new Config(name, listen, discovery, console, json);
    }

    /** Paths of settings that nothing reads, in order. */
    public Set<String> unknownSettings() {
        Map<String, String> pairs = new HashMap<>();
        flatten("", object(json, "settings", "the configuration"), pairs);
        SettingsReader text = new SettingsReader(pairs);
        text.settings();
        text.reportFields();
        Set<String> unknown = text.unreadPaths();
        unknown.removeAll(Set.of("localities", "kinds"));
        return unknown;
    }

    static String variable(Map<String, String> env, String name) {
        String value = env.get(name);
        if (value == null || value.isBlank()) {
            throw new BadInput("the variable " + name + " is not set");
        }
        return value.strip();
    }

    private static Map<String, Object> read(String path) {
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput(
                    "the configuration "
                            + path
                            + " (LB_CONFIG) cannot be read: "
                            + e.getClass().getSimpleName());
        }
        Map<String, Object> json = parse(text);
        if (json == null) {
            throw new BadInput("the configuration " + path + " (LB_CONFIG) is not a JSON object");
        }
        return json;
    }

    /** Returns null if the text is not a JSON object. */
    static Map<String, Object> parse(String text) {
        try {
            return JSON.std.mapFrom(text);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Parses a numeric IP address and port. Host names are rejected: the deployment has no name service,
     * and a look-up would block the event loop.
     */
    public static InetSocketAddress address(String text, String what) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (bytes != null && port >= 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below
        }
        throw new BadInput(what + " is not an address and port: " + printable(text));
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadInput(
                    "seed in the configuration is not a hexadecimal number: " + printable(text));
        }
    }

    static String text(Map<String, Object> from, String key, String where) {
        if (from.get(key) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new BadInput(key + " is missing from " + where);
    }

    @SuppressWarnings("unchecked") // the parser creates no other type of map
    private static Map<String, Object> object(Map<String, Object> from, String key, String where) {
        if (from.get(key) instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new BadInput(key + " is missing from " + where);
    }

    private static List<?> list(Map<String, Object> from, String key) {
        return from.get(key) instanceof List<?> l ? l : List.of();
    }

    /**
     * Flattens nested settings to the paths and values of the simulator's wire format, so that one reader
     * serves both.
     */
    private static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((k, v) -> flatten(prefix + k, v, out));
        } else if (value instanceof List<?> list && list.stream().anyMatch(v -> v instanceof Map)) {
            out.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), out);
            }
        } else if (value instanceof List<?> list) {
            out.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }

    static String printable(String text) {
        String line = text.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= 80 ? line : line.substring(0, 80) + "...";
    }
}
