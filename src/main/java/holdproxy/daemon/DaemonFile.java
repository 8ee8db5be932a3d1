package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.membership.MembershipService;
import holdproxy.net.Config;
import holdproxy.toml.TomlSection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A daemon's configuration file, in TOML. A missing, unknown or out-of-range value is a {@link BadInput} with
 * the file and the line.
 *
 * @param name the process's name in its fleet
 * @param folder the directory for its persistent state
 * @param listen the address for clients
 * @param console the address of the operators' console, or null
 * @param proxy the checked configuration of the proxy
 * @param membership this process's place in the membership protocol, or null
 * @param voters the names of the consensus group's voters; empty without a consensus group
 * @param distribution its part in the distribution of published changes, or null
 * @param discovery the address that serves the list of cache nodes
 * @param document the JSON document that {@code proxy} was read from, in the platform's form
 * @param drills test leases, with which operators and the rig exercise the fleet
 */
record DaemonFile(
        String name,
        Path folder,
        InetSocketAddress listen,
        InetSocketAddress console,
        Config proxy,
        MembershipService.Endpoint membership,
        List<String> voters,
        DistributionSettings distribution,
        InetSocketAddress discovery,
        Map<String, Object> document,
        List<Drill> drills) {
    private static final int MIN_SOCKETS = 128;
    private static final int MAX_SOCKETS = 1 << 20;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_LEASE_MS = 200;
    private static final int MAX_LEASE_MS = 60_000;

    /**
     * A test lease: its holder regularly sends the fencing token to a guarded resource.
     *
     * @param role the name of the role
     * @param leaseMs the lease's duration in milliseconds
     * @param everyMs the interval between two messages to the resource, in milliseconds
     * @param resource the resource's address
     */
    record Drill(String role, int leaseMs, int everyMs, InetSocketAddress resource) {}

    /** Reads the file for a start; {@code seed} seeds all random choices. */
    static DaemonFile read(Path file, long seed) {
        return read(file, seed, null);
    }

    /**
     * Reads the file again for a running process with the configuration {@code inUse}. Values that only a
     * start can apply, such as the name and addresses, must be unchanged.
     */
    static DaemonFile reread(Path file, DaemonFile inUse) {
        return read(file, 0, inUse);
    }

    private static DaemonFile read(Path file, long seed, DaemonFile inUse) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new BadInput(
                    "the file " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
        TomlSection top = TomlSection.parse(file.toString(), "the file", text);
        String name = top.requiredString("name", DaemonFile::name);
        InetSocketAddress listen = top.requiredString("listen", t -> Config.address(t, "listen"));
        InetSocketAddress discovery =
                top.requiredString("discovery", t -> Config.address(t, "discovery"));
        InetSocketAddress console =
                top.positionOf("console") == null
                        ? null
                        : top.requiredString("console", t -> Config.address(t, "console"));
        Path folder = top.requiredString("folder", DaemonFile::folder);
        int sockets = top.integer("sockets", DEFAULT_SOCKETS, MIN_SOCKETS, MAX_SOCKETS);
        Map<String, Object> settings = top.map("settings");
        String membershipKey = top.currentOrFormer("membership", "peers");
        String consensusKey = top.currentOrFormer("consensus", "council");
        MembershipService.Endpoint membership =
                top.positionOf(membershipKey) == null
                        ? null
                        : membership(name, top.section(membershipKey));
        List<String> voters = voters(top, consensusKey);
        DistributionSettings distribution =
                top.positionOf(DistributionSettings.SECTION) == null
                        ? null
                        : DistributionSettings.read(
                                name, voters, top.section(DistributionSettings.SECTION));
        List<Drill> drills = new ArrayList<>();
        for (TomlSection each : top.sections("drill")) {
            drills.add(
                    new Drill(
                            each.requiredString(
                                    each.currentOrFormer("role", "duty"), DaemonFile::name),
                            each.integer("lease_ms", 3_000, MIN_LEASE_MS, MAX_LEASE_MS),
                            each.integer("every_ms", 50, 1, MAX_LEASE_MS),
                            each.requiredString("resource", t -> Config.address(t, "resource"))));
            each.rejectUnknownKeys();
        }
        top.rejectUnknownKeys();
        if (membership == null && !voters.isEmpty()) {
            throw top.error(top.positionOf(consensusKey), "consensus needs [membership]");
        }
        if (voters.isEmpty() && !drills.isEmpty()) {
            throw top.error(top.positionOf("drill"), "a drill needs [consensus]");
        }
        Map<String, Object> json = new HashMap<>();
        json.put("seed", Long.toHexString(seed));
        json.put("limits", Map.of("sockets", sockets));
        json.put("known", Map.of("version", 0, "full", true, "servers", List.of()));
        json.put("settings", settings);
        try {
            if (inUse != null) {
                requireUnchanged(top, "name", inUse.name, name);
                requireUnchanged(top, "folder", inUse.folder, folder);
                requireUnchanged(top, "listen", inUse.listen, listen);
                requireUnchanged(top, "console", inUse.console, console);
                requireUnchanged(top, membershipKey, inUse.membership, membership);
                requireUnchanged(top, consensusKey, inUse.voters, voters);
                requireUnchanged(
                        top, DistributionSettings.SECTION, inUse.distribution, distribution);
                requireUnchanged(top, "drill", inUse.drills, drills);
            }
            Config proxy =
                    inUse == null
                            ? Config.of(name, listen, discovery, console, json)
                            : inUse.proxy.reload(discovery, json);
            rejectUnknown(proxy);
            return new DaemonFile(
                    name,
                    folder,
                    listen,
                    console,
                    proxy,
                    membership,
                    voters,
                    distribution,
                    discovery,
                    json,
                    drills);
        } catch (BadInput e) {
            throw top.error(
                    top.positionOfPath("settings" + (e.path() == null ? "" : "." + e.path())),
                    e.getMessage());
        }
    }

    private static void rejectUnknown(Config proxy) {
        Set<String> unknown = proxy.unknownSettings();
        if (!unknown.isEmpty()) {
            String first = unknown.iterator().next();
            throw new BadInput("setting " + first + " is unknown", first);
        }
    }

    /**
     * Returns the proxy's configuration with the published settings applied over those of this file, checked.
     * A {@link BadInput} names the invalid key.
     */
    Config withPublished(Map<String, byte[]> published) {
        Map<String, Object> all = new HashMap<>(document);
        @SuppressWarnings("unchecked") // read() puts a Map there
        Map<String, Object> own = (Map<String, Object>) document.get("settings");
        all.put("settings", PublishedSettings.overlay(own, published));
        try {
            Config config = proxy.reload(discovery, all);
            rejectUnknown(config);
            return config;
        } catch (BadInput e) {
            throw new BadInput(PublishedSettings.messageWithKey(published, e), e.path());
        }
    }

    private static List<String> voters(TomlSection top, String key) {
        if (top.positionOf(key) == null) {
            return List.of();
        }
        TomlSection part = top.section(key);
        List<String> voters = part.strings("voters", DaemonFile::name);
        part.rejectUnknownKeys();
        if (voters.size() != 3 && voters.size() != 5
                || voters.stream().distinct().count() != voters.size()) {
            throw top.error(
                    top.positionOfPath(key + ".voters"),
                    "voters are not three or five processes: " + voters);
        }
        return voters;
    }

    private static MembershipService.Endpoint membership(String name, TomlSection part) {
        InetSocketAddress listen = part.requiredString("listen", t -> Config.address(t, "listen"));
        String address =
                part.string(
                        "address", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        List<String> seeds = part.strings("seeds", t -> Config.address(t, "a seed"));
        Map<String, InetSocketAddress> routes = new HashMap<>();
        TomlSection routesTable = part.section("routes");
        for (String to : routesTable.keys()) {
            routes.put(
                    to,
                    routesTable.requiredString(to, t -> Config.address(t, "the route to " + to)));
        }
        routesTable.rejectUnknownKeys();
        part.rejectUnknownKeys();
        return new MembershipService.Endpoint(name, address, listen, seeds, routes);
    }

    private static void requireUnchanged(TomlSection top, String key, Object before, Object now) {
        if (!Objects.equals(before, now)) {
            throw top.error(
                    top.positionOf(key),
                    key + " cannot change while the process runs: it was " + before);
        }
    }

    /** Checks the name of a process or a role. */
    static String name(String text) {
        if (!text.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
            throw new BadInput(
                    "name is not 1 to 64 letters, digits, dots, dashes and underscores: "
                            + text.replaceAll("\\p{Cntrl}", "?"));
        }
        return text;
    }

    private static Path folder(String text) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new BadInput("folder is no path: " + e.getReason());
        }
    }
}
