package holdproxy.daemon;

import holdproxy.input.BadInput;
import holdproxy.net.Config;
import holdproxy.toml.TomlSection;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The {@code [distribution]} section of a daemon's file: the distribution of published changes. A missing,
 * unknown or out-of-range value is a {@link BadInput} with the file and the line.
 *
 * @param role this process's role
 * @param site the site of the relay that serves it; for a control machine, its own site
 * @param listen the address that relays or proxies subscribe to; null in a proxy
 * @param upstream the addresses this process subscribes to, in no order; empty in a control machine
 * @param fallback the addresses it subscribes to while none of these serves it
 * @param admin the address of a control machine's admin API; null in other roles
 * @param admins the admin addresses of the control machines, for operators' commands
 * @param leaseMs the duration of the publisher or relay lease in milliseconds
 */
record DistributionSettings(
        Role role,
        String site,
        InetSocketAddress listen,
        List<InetSocketAddress> upstream,
        List<InetSocketAddress> fallback,
        InetSocketAddress admin,
        List<InetSocketAddress> admins,
        int leaseMs) {
    static final String SECTION = "distribution";
    private static final int MIN_LEASE_MS = 200;
    private static final int MAX_LEASE_MS = 60_000;
    private static final int DEFAULT_LEASE_MS = 3_000;
    private static final int MAX_UPSTREAM = 64;
    private static final int MAX_ADMINS = 16;

    /** A process's role in the distribution of changes. */
    enum Role {
        /** A member of the consensus group; keeps the change log and serves relays from it. */
        CONTROL,
        /** Subscribes to changes and serves them to the proxies of its site. */
        RELAY,
        /** Subscribes to changes and serves no others. */
        PROXY;

        private static final List<String> TOML_NAMES = List.of("control", "relay", "proxy");

        boolean serves() {
            return this != PROXY;
        }

        /** The name used in the file. */
        String tomlName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    DistributionSettings {
        upstream = List.copyOf(upstream);
        fallback = List.copyOf(fallback);
        admins = List.copyOf(admins);
    }

    /** Reads the {@code [distribution]} section of the process {@code name}. */
    static DistributionSettings read(String name, List<String> voters, TomlSection section) {
        Role role =
                Role.valueOf(
                        section.requiredChoice("role", Role.TOML_NAMES).toUpperCase(Locale.ROOT));
        String site = section.requiredString("site", DaemonFile::name);
        InetSocketAddress listen = address(section, "listen", role.serves());
        InetSocketAddress admin = address(section, "admin", role == Role.CONTROL);
        List<InetSocketAddress> upstream = addresses(section, "upstream", MAX_UPSTREAM);
        List<InetSocketAddress> fallback = addresses(section, "fallback", MAX_UPSTREAM);
        List<InetSocketAddress> admins = addresses(section, "admins", MAX_ADMINS);
        int leaseMs = section.integer("lease_ms", DEFAULT_LEASE_MS, MIN_LEASE_MS, MAX_LEASE_MS);
        section.rejectUnknownKeys();
        if (role == Role.CONTROL && !voters.contains(name)) {
            throw section.error(
                    section.positionOf("role"),
                    "a control machine is one of the voters, which " + name + " is not");
        }
        if (role == Role.CONTROL && !(upstream.isEmpty() && fallback.isEmpty())) {
            throw section.error(
                    section.positionOf("upstream"),
                    "a control machine subscribes nowhere: it has no upstream");
        }
        if (role != Role.CONTROL && upstream.isEmpty()) {
            throw section.error(
                    section.positionOf("upstream"),
                    "a " + role.tomlName() + " needs at least one address in upstream");
        }
        return new DistributionSettings(
                role, site, listen, upstream, fallback, admin, admins, leaseMs);
    }

    private static InetSocketAddress address(TomlSection section, String key, boolean required) {
        if (required) {
            return section.requiredString(key, text -> Config.address(text, key));
        }
        if (!section.string(key, "").isEmpty()) {
            throw section.error(
                    section.positionOf(key), key + " has no use in a process of this role");
        }
        return null;
    }

    private static List<InetSocketAddress> addresses(TomlSection section, String key, int max) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        section.strings(key, text -> addresses.add(Config.address(text, "an address in " + key)));
        if (addresses.size() > max) {
            throw section.error(
                    section.positionOf(key),
                    key + " has more than " + max + " addresses: " + addresses.size());
        }
        return addresses;
    }
}
