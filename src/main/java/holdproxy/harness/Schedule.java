package holdproxy.harness;

import holdproxy.emulator.Load;
import holdproxy.input.BadInput;
import holdproxy.toml.TomlSection;
import holdproxy.toml.TomlText;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A schedule that a rig plays: its processes, the load on them and the faults; read from and written as TOML.
 * Errors in a file are reported as {@link BadInput} with the line.
 *
 * @param name for the report
 * @param seed of all random choices: client requests, node behaviour, jitter on links
 * @param seconds how long clients send requests
 * @param daemons whether proxies are started as {@code daemon}, else as {@code serve}
 * @param fleet settings of the daemons
 * @param proxies number of proxy processes, 1 to 40
 * @param nodes number of emulated cache nodes, 1 to 100
 * @param load client load
 * @param faults in any order
 * @param expected progress that is required by the end
 * @param publications what operators publish, in any order
 */
record Schedule(
        String name,
        long seed,
        double seconds,
        boolean daemons,
        Fleet fleet,
        int proxies,
        int nodes,
        Load load,
        List<RigFault> faults,
        List<ExpectedEvent> expected,
        List<Publication> publications) {
    /**
     * Settings of the daemons.
     *
     * @param voters size of the consensus group: 0, 3 or 5; the first daemons are its members
     * @param drills number of leases that the daemons compete for at the guarded resource
     * @param leaseMs duration of a lease, in milliseconds
     * @param quiet whether clients send nothing
     * @param relays number of daemons, those after the voters, that relay published changes; 0: nothing is
     *     published
     */
    record Fleet(int voters, int drills, int leaseMs, boolean quiet, int relays) {
        static final Fleet NONE = new Fleet(0, 0, 1_000, false);

        Fleet(int voters, int drills, int leaseMs, boolean quiet) {
            this(voters, drills, leaseMs, quiet, 0);
        }
    }

    /**
     * Settings that operators publish.
     *
     * @param atS start, in seconds after all processes listen
     * @param settings by section
     * @param exitCode expected exit code of the publish command
     */
    record Publication(double atS, Map<String, Object> settings, int exitCode) {}

    private static final double MAX_SECONDS = 3600;
    private static final int MAX_MS = 60_000;
    private static final int MAX_BYTES = 1 << 30;
    private static final int MAX_RELAYS = 5;
    private static final int MAX_EXIT_CODE = 4;
    private static final int MAX_FAULTS = 6;
    private static final double FIRST_FAULT_S = 1;

    Schedule {
        faults = List.copyOf(faults);
        expected = List.copyOf(expected);
        publications = List.copyOf(publications);
    }

    /** A schedule without publications. */
    Schedule(
            String name,
            long seed,
            double seconds,
            boolean daemons,
            Fleet fleet,
            int proxies,
            int nodes,
            Load load,
            List<RigFault> faults,
            List<ExpectedEvent> expected) {
        this(
                name, seed, seconds, daemons, fleet, proxies, nodes, load, faults, expected,
                List.of());
    }

    static Schedule read(Path file) {
        try {
            return read(file.getFileName().toString(), Files.readString(file));
        } catch (IOException e) {
            throw new BadInput(
                    "the schedule " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** {@code file}: its name, for errors and as the name of a schedule that has none. */
    static Schedule read(String file, String text) {
        TomlSection top = TomlSection.parse(file, "the schedule", text);
        String name = top.string("name", file);
        long seed = (long) top.number("seed", 1, 0, Long.MAX_VALUE);
        double seconds = top.number("seconds", 15, 1, MAX_SECONDS);
        TomlSection section = top.section("town");
        boolean daemons = section.flag("daemons");
        int proxies = section.integer("proxies", 5, 1, 40);
        Fleet fleet =
                new Fleet(
                        section.integer("voters", 0, 0, 5),
                        section.integer("drills", 0, 0, 20),
                        section.integer("lease_ms", 1_000, 200, MAX_MS),
                        section.flag("quiet"),
                        section.integer("relays", 0, 0, MAX_RELAYS));
        boolean valid =
                fleet.voters == 0
                        ? fleet.drills == 0 && fleet.relays == 0
                        : daemons
                                && (fleet.voters == 3 || fleet.voters == 5)
                                && fleet.voters + fleet.relays <= proxies;
        if (!valid) {
            throw section.error(
                    section.positionOf("voters"),
                    "voters must be 3 or 5, need daemons, and with the relays must not exceed"
                            + " proxies; drills and relays need voters");
        }
        int nodes = section.integer("nodes", 6, 1, 100);
        section.rejectUnknownKeys();
        Load load = Load.read(top.section("load"));
        List<RigFault> faults = new ArrayList<>();
        for (TomlSection fault : top.sections("fault")) {
            faults.add(fault(fault, proxies, nodes, seconds));
        }
        List<ExpectedEvent> expected = new ArrayList<>();
        for (TomlSection each : top.sections("expect")) {
            expected.add(
                    new ExpectedEvent(
                            each.flag("any"),
                            each.string("by", "*"),
                            each.requiredString("said", t -> t),
                            each.number("after_s", 0, 0, seconds),
                            each.number("within_s", 60, 0, MAX_SECONDS)));
            each.rejectUnknownKeys();
        }
        List<Publication> publications = new ArrayList<>();
        for (TomlSection each : top.sections("publish")) {
            publications.add(publication(each, fleet, seconds));
        }
        top.rejectUnknownKeys();
        return new Schedule(
                name,
                seed,
                seconds,
                daemons,
                fleet,
                proxies,
                nodes,
                load,
                faults,
                expected,
                publications);
    }

    private static Publication publication(TomlSection part, Fleet fleet, double seconds) {
        if (fleet.relays == 0) {
            throw part.error(
                    part.positionOf("at_s"), "nothing can be published without relays in [town]");
        }
        Publication publication =
                new Publication(
                        part.requiredNumber("at_s", 0, seconds),
                        part.map("settings"),
                        part.integer("exit_code", 0, 0, MAX_EXIT_CODE));
        part.rejectUnknownKeys();
        return publication;
    }

    private static RigFault fault(TomlSection p, int proxies, int nodes, double seconds) {
        RigFault.Kind kind =
                RigFault.Kind.valueOf(
                        p.requiredChoice("kind", RigFault.Kind.CONFIG_NAMES)
                                .toUpperCase(Locale.ROOT));
        double atS = p.requiredNumber("at_s", 0, seconds);
        double forS = kind == RigFault.Kind.RESET ? 0 : p.number("for_s", 0, 0, MAX_SECONDS);
        RigFault fault;
        if (kind.targetsLinks()) {
            String from = p.string("from", "*");
            String to = p.string("to", "*");
            boolean hasStates = kind == RigFault.Kind.LINK;
            fault =
                    RigFault.links(
                            kind,
                            atS,
                            forS,
                            from,
                            to,
                            hasStates ? state(p.section("there")) : LinkState.HEALTHY,
                            hasStates ? state(p.section("back")) : LinkState.HEALTHY);
        } else {
            int target =
                    kind.targetsProxy()
                            ? (int) p.requiredNumber("proxy", 0, proxies - 1)
                            : (int) p.requiredNumber("node", 0, nodes - 1);
            fault =
                    RigFault.process(
                            kind,
                            atS,
                            forS,
                            kind.hasNoticeDelay() ? p.number("noticed_s", 2, 0, MAX_SECONDS) : 0,
                            target);
        }
        p.rejectUnknownKeys();
        return fault;
    }

    private static LinkState state(TomlSection p) {
        LinkState state =
                new LinkState(
                        p.flag("cut"),
                        p.flag("unread"),
                        p.integer("delay_ms", 0, 0, MAX_MS),
                        p.integer("jitter_ms", 0, 0, MAX_MS),
                        p.integer("growth_ms", 0, 0, MAX_MS),
                        p.integer("bytes_per_s", 0, 0, MAX_BYTES),
                        p.integer("tear_after", 0, 0, MAX_BYTES));
        p.rejectUnknownKeys();
        return state;
    }

    /** The schedule in the format of {@link #read}. */
    String toml() {
        StringBuilder out = new StringBuilder();
        line(out, "name", TomlText.quoted(name));
        line(out, "seed", seed);
        line(out, "seconds", seconds);
        out.append("\n[town]\n");
        line(out, "daemons", daemons);
        line(out, "voters", fleet.voters);
        line(out, "drills", fleet.drills);
        line(out, "lease_ms", fleet.leaseMs);
        line(out, "quiet", fleet.quiet);
        line(out, "relays", fleet.relays);
        line(out, "proxies", proxies);
        line(out, "nodes", nodes);
        out.append("\n[load]\n");
        line(out, "rate_per_s", load.ratePerS());
        line(out, "work_ms", load.workMs());
        line(out, "keys", load.keys());
        line(out, "zipf", load.zipf());
        line(out, "retries", load.retries());
        line(out, "clubs", load.clubs());
        for (RigFault f : faults) {
            out.append("\n[[fault]]\n");
            line(out, "kind", "\"" + f.kind().configName() + "\"");
            line(out, "at_s", f.atS());
            if (f.kind() != RigFault.Kind.RESET) {
                line(out, "for_s", f.forS());
            }
            if (f.kind().targetsLinks()) {
                line(out, "from", "\"" + f.from() + "\"");
                line(out, "to", "\"" + f.to() + "\"");
                if (f.kind() == RigFault.Kind.LINK) {
                    line(out, "there", state(f.there()));
                    line(out, "back", state(f.back()));
                }
            } else {
                line(out, f.kind().targetsProxy() ? "proxy" : "node", f.target());
                if (f.kind().hasNoticeDelay()) {
                    line(out, "noticed_s", f.noticedS());
                }
            }
        }
        for (ExpectedEvent each : expected) {
            out.append("\n[[expect]]\n");
            line(out, "any", each.any());
            line(out, "by", TomlText.quoted(each.by()));
            line(out, "said", TomlText.quoted(each.text()));
            line(out, "after_s", each.afterS());
            line(out, "within_s", each.withinS());
        }
        for (Publication each : publications) {
            out.append("\n[[publish]]\n");
            line(out, "at_s", each.atS());
            line(out, "exit_code", each.exitCode());
            line(out, "settings", DaemonFormat.toml(each.settings()));
        }
        return out.toString();
    }

    private static String state(LinkState s) {
        return "{cut = "
                + s.cut()
                + ", unread = "
                + s.unread()
                + ", delay_ms = "
                + s.delayMs()
                + ", jitter_ms = "
                + s.jitterMs()
                + ", growth_ms = "
                + s.growthMs()
                + ", bytes_per_s = "
                + s.bytesPerS()
                + ", tear_after = "
                + s.tearAfter()
                + "}";
    }

    private static void line(StringBuilder out, String key, Object value) {
        out.append(key).append(" = ").append(value).append('\n');
    }

    /** A schedule with random faults, which may overlap. */
    static Schedule random(
            long seed, boolean daemons, Fleet fleet, int proxies, int nodes, double seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RigFault> faults = new ArrayList<>();
        for (int i = 1 + random.nextInt(MAX_FAULTS); i > 0; i--) {
            faults.add(
                    randomFault(
                            random,
                            daemons,
                            proxies,
                            nodes,
                            random.nextDouble(FIRST_FAULT_S, seconds)));
        }
        return new Schedule(
                "drawn-" + seed,
                seed,
                seconds,
                daemons,
                fleet,
                proxies,
                nodes,
                Load.DEFAULT,
                faults,
                List.of());
    }

    private static RigFault randomFault(
            SplittableRandom random, boolean daemons, int proxies, int nodes, double atS) {
        RigFault.Kind[] kinds = RigFault.Kind.values();
        // the last kind applies to daemons only
        RigFault.Kind kind = kinds[random.nextInt(daemons ? kinds.length : kinds.length - 1)];
        double forS = random.nextDouble(0.2, 5);
        if (!kind.targetsLinks()) {
            double noticedS = random.nextDouble(0.5, 3);
            return RigFault.process(
                    kind,
                    atS,
                    forS,
                    kind.hasNoticeDelay() ? noticedS : 0,
                    random.nextInt(kind.targetsProxy() ? proxies : nodes));
        }
        String proxy = "proxy-" + random.nextInt(proxies);
        String node = random.nextBoolean() ? "s-*" : "s-" + random.nextInt(nodes);
        int route = random.nextInt(daemons ? 6 : 4);
        String from = route == 0 ? "clients" : proxy;
        String to =
                route == 0
                        ? proxy
                        : route == 1
                                ? "discovery"
                                : route == 4 ? "proxy-*" : route == 5 ? GuardedResource.NAME : node;
        LinkState faulty = kind == RigFault.Kind.LINK ? randomState(random) : LinkState.HEALTHY;
        int direction = random.nextInt(3);
        return RigFault.links(
                kind,
                atS,
                kind == RigFault.Kind.RESET ? 0 : forS,
                from,
                to,
                direction == 1 ? LinkState.HEALTHY : faulty,
                direction == 0 ? LinkState.HEALTHY : faulty);
    }

    private static LinkState randomState(SplittableRandom random) {
        return switch (random.nextInt(5)) {
            case 0 -> LinkState.CUT;
            case 1 -> LinkState.UNREAD;
            case 2 ->
                    LinkState.delayed(
                            random.nextInt(300), random.nextInt(300), random.nextInt(100));
            case 3 -> LinkState.throttled(500 + random.nextInt(20_000));
            default -> LinkState.resetAfter(1 + random.nextInt(2_000));
        };
    }
}
