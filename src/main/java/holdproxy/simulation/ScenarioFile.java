package holdproxy.simulation;

import holdproxy.emulator.Load;
import holdproxy.input.BadInput;
import holdproxy.toml.TomlSection;
import holdproxy.toml.TomlText;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tomlj.TomlArray;

/**
 * Reads and writes scenarios as TOML. Every setting has a default but a fault's target; an unknown key, a
 * value of the wrong type or one out of bounds is a {@link BadInput} that names the line.
 */
final class ScenarioFile {
    private static final double LONGEST_S = 3600;
    private static final int MOST_DELAY_MS = 10_000;

    private ScenarioFile() {}

    static Scenario read(Path file) {
        try {
            return read(file.getFileName().toString(), Files.readString(file));
        } catch (IOException e) {
            throw new BadInput(
                    "the scenario " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** {@code file}: the file name, for errors and as the default scenario name. */
    static Scenario read(String file, String text) {
        TomlSection top = TomlSection.parse(file, "the scenario", text);
        String name = top.string("name", file);
        long seed = (long) top.number("seed", 1, 0, Long.MAX_VALUE);
        double seconds = top.number("seconds", 30, 1, LONGEST_S);
        TomlSection town = top.section("town");
        Scenario.Size size = size(town);
        Scenario.ZoneLayout rooms = rooms(town);
        town.rejectUnknownKeys();
        Load load = Load.read(top.section("load"));
        List<Fault> faults = new ArrayList<>();
        for (TomlSection fault : top.sections("fault")) {
            faults.add(fault(fault, size, load, rooms.zones(), seconds));
        }
        top.rejectUnknownKeys();
        return new Scenario(name, seed, seconds, size, load, faults, rooms);
    }

    private static Scenario.Size size(TomlSection p) {
        Scenario.Size d = Scenario.SMALL;
        Scenario.Size size =
                new Scenario.Size(
                        p.integer("proxies", d.proxies(), 1, 200),
                        p.integer("nodes", d.nodes(), 1, 1000),
                        p.integer("slots", d.slots(), 1, 1000),
                        p.integer("queue", d.queue(), 0, 10_000),
                        p.integer("memory_keys", d.memory(), 1, 1_000_000),
                        p.number("ttl_s", d.ttlS(), 0.001, LONGEST_S),
                        p.integer("connections", d.connections(), 1, 100_000),
                        p.number("handshake_ms", d.handshakeMs(), 0, 1000),
                        p.number("cold_from", d.coldFrom(), 0.01, 1),
                        p.number("cold_s", d.coldS(), 0.001, LONGEST_S),
                        p.number("origin_ms", d.originMs(), 0.1, 10_000),
                        p.integer("origin_slots", d.originSlots(), 1, 100_000));
        return size;
    }

    private static Scenario.ZoneLayout rooms(TomlSection p) {
        int zones = p.integer("zones", 1, 1, ZoneNetwork.MOST);
        TomlArray each = p.array("zone_ms");
        List<Double> delays = new ArrayList<>();
        for (int i = 0; each != null && i < each.size(); i++) {
            double ms = each.get(i) instanceof Number n ? n.doubleValue() : -1;
            if (!(ms >= 0 && ms <= MOST_DELAY_MS)) {
                throw p.error(
                        each.inputPositionOf(i),
                        "zone_ms holds something else than milliseconds from 0 to "
                                + MOST_DELAY_MS);
            }
            delays.add(ms);
        }
        int pairs = ZoneNetwork.pairs(zones);
        if (each != null && delays.size() != 1 && delays.size() != pairs) {
            throw p.error(
                    p.positionOf("zone_ms"),
                    "zone_ms holds "
                            + delays.size()
                            + " figures and not one for all, or one for each of the "
                            + pairs
                            + " pairs of zones");
        }
        return new Scenario.ZoneLayout(zones, delays.isEmpty() ? List.of(0.0) : delays);
    }

    private static Fault fault(
            TomlSection p, Scenario.Size size, Load load, int zones, double seconds) {
        String word = p.string("kind", "");
        Fault.Kind kind = null;
        for (Fault.Kind k : Fault.Kind.values()) {
            kind = k.tomlName().equals(word) ? k : kind;
        }
        if (kind == null) {
            throw p.error(
                    p.positionOf("kind"),
                    "kind is not one of "
                            + String.join(
                                    ", ",
                                    Arrays.stream(Fault.Kind.values())
                                            .map(Fault.Kind::tomlName)
                                            .toList()));
        }
        Set<Fault.Parameter> has = kind.figures;
        double atS = p.requiredNumber("at_s", 0, seconds);
        double forS = has.contains(Fault.Parameter.FOR_S) ? p.number("for_s", 0, 0, LONGEST_S) : 0;
        double noticedS =
                has.contains(Fault.Parameter.NOTICED_S)
                        ? p.number("noticed_s", 2, 0, LONGEST_S)
                        : 0;
        int target =
                has.contains(Fault.Parameter.NODE)
                        ? p.integer("node", 0, 0, size.nodes() - 1)
                        : has.contains(Fault.Parameter.PROXY)
                                ? (int) p.requiredNumber("proxy", 0, size.proxies() - 1)
                                : has.contains(Fault.Parameter.CLUB)
                                        ? (int) p.requiredNumber("club", 0, load.clubs().size() - 1)
                                        : kind.affectsZone()
                                                ? (int) p.requiredNumber("zone", 0, zones - 1)
                                                : 0;
        double part = has.contains(Fault.Parameter.PART) ? p.number("part", 0, 0, 1) : 0;
        double times =
                has.contains(Fault.Parameter.TIMES) ? p.requiredNumber("times", 0.01, 1000) : 0;
        double chance = has.contains(Fault.Parameter.CHANCE) ? p.requiredNumber("chance", 0, 1) : 0;
        p.rejectUnknownKeys();
        return new Fault(kind, atS, forS, noticedS, target, part, times, chance);
    }

    /** Writes a scenario in the form that {@link #read} accepts. */
    static String write(Scenario s) {
        StringBuilder out = new StringBuilder();
        out.append("name = ").append(TomlText.quoted(s.name())).append('\n');
        line(out, "seed", s.seed());
        line(out, "seconds", s.seconds());
        out.append("\n[town]\n");
        line(out, "proxies", s.town().proxies());
        line(out, "nodes", s.town().nodes());
        line(out, "slots", s.town().slots());
        line(out, "queue", s.town().queue());
        line(out, "memory_keys", s.town().memory());
        line(out, "ttl_s", s.town().ttlS());
        line(out, "connections", s.town().connections());
        line(out, "handshake_ms", s.town().handshakeMs());
        line(out, "cold_from", s.town().coldFrom());
        line(out, "cold_s", s.town().coldS());
        line(out, "origin_ms", s.town().originMs());
        line(out, "origin_slots", s.town().originSlots());
        line(out, "zones", s.rooms().zones());
        line(out, "zone_ms", s.rooms().delaysMs());
        out.append("\n[load]\n");
        line(out, "rate_per_s", s.load().ratePerS());
        line(out, "work_ms", s.load().workMs());
        line(out, "keys", s.load().keys());
        line(out, "zipf", s.load().zipf());
        line(out, "retries", s.load().retries());
        line(out, "clubs", s.load().clubs());
        for (Fault f : s.faults()) {
            out.append("\n[[fault]]\n");
            line(out, "kind", "\"" + f.kind().tomlName() + "\"");
            line(out, "at_s", f.atS());
            for (Fault.Parameter figure : f.kind().figures) {
                line(
                        out,
                        figure.name().toLowerCase(Locale.ROOT),
                        switch (figure) {
                            case FOR_S -> f.forS();
                            case NOTICED_S -> f.noticedS();
                            case NODE, PROXY, CLUB, ZONE -> f.target();
                            case PART -> f.part();
                            case TIMES -> f.times();
                            case CHANCE -> f.chance();
                        });
            }
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String key, Object value) {
        out.append(key).append(" = ").append(value).append('\n');
    }
}
