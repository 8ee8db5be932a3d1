package holdproxy.lab;

import holdproxy.input.BadInput;
import holdproxy.town.Load;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Scenarios as TOML. Every figure has a default but a fault's place; whatever is unknown, of the wrong
 * kind or out of its bounds is a {@link BadInput} that names the line.
 */
final class ScenarioFile {
    private static final double LONGEST_S = 3600;
    private static final int MOST_DELAY_MS = 10_000;

    private ScenarioFile() {
    }

    static Scenario read(Path file) {
        try {
            return read(file.getFileName().toString(), Files.readString(file));
        } catch (IOException e) {
            throw new BadInput("the scenario " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** {@code file}: its name, for errors and where the scenario states none. */
    static Scenario read(String file, String text) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            throw new BadInput(file + " line " + parsed.errors().get(0).position().line() + ": "
                + parsed.errors().get(0).getMessage());
        }
        Part top = new Part(file, "the scenario", parsed, null);
        String name = top.text("name", file);
        long seed = (long) top.number("seed", 1, 0, Long.MAX_VALUE);
        double seconds = top.number("seconds", 30, 1, LONGEST_S);
        Part town = top.part("town");
        Scenario.Size size = size(town);
        Scenario.Rooms rooms = rooms(town);
        town.done();
        Load load = load(top.part("load"));
        List<Fault> faults = new ArrayList<>();
        TomlArray array = top.array("fault");
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable table)) {
                throw top.bad(array.inputPositionOf(i), "fault is not a list of tables, [[fault]]");
            }
            faults.add(fault(new Part(file, "[[fault]]", table, array.inputPositionOf(i)), size, load,
                rooms.zones(), seconds));
        }
        top.done();
        return new Scenario(name, seed, seconds, size, load, faults, rooms);
    }

    private static Scenario.Size size(Part p) {
        Scenario.Size d = Scenario.SMALL;
        Scenario.Size size = new Scenario.Size(p.whole("proxies", d.proxies(), 1, 200),
            p.whole("nodes", d.nodes(), 1, 1000), p.whole("slots", d.slots(), 1, 1000),
            p.whole("queue", d.queue(), 0, 10_000), p.whole("memory_keys", d.memory(), 1, 1_000_000),
            p.number("ttl_s", d.ttlS(), 0.001, LONGEST_S),
            p.whole("connections", d.connections(), 1, 100_000),
            p.number("handshake_ms", d.handshakeMs(), 0, 1000),
            p.number("cold_from", d.coldFrom(), 0.01, 1), p.number("cold_s", d.coldS(), 0.001, LONGEST_S),
            p.number("origin_ms", d.originMs(), 0.1, 10_000),
            p.whole("origin_slots", d.originSlots(), 1, 100_000));
        return size;
    }

    private static Scenario.Rooms rooms(Part p) {
        int zones = p.whole("zones", 1, 1, Zones.MOST);
        TomlArray each = p.array("zone_ms");
        List<Double> delays = new ArrayList<>();
        for (int i = 0; each != null && i < each.size(); i++) {
            double ms = each.get(i) instanceof Number n ? n.doubleValue() : -1;
            if (!(ms >= 0 && ms <= MOST_DELAY_MS)) {
                throw p.bad(each.inputPositionOf(i),
                    "zone_ms holds something else than milliseconds from 0 to " + MOST_DELAY_MS);
            }
            delays.add(ms);
        }
        int pairs = Zones.pairs(zones);
        if (each != null && delays.size() != 1 && delays.size() != pairs) {
            throw p.bad(p.at("zone_ms"), "zone_ms holds " + delays.size()
                + " figures and not one for all, or one for each of the " + pairs + " pairs of zones");
        }
        return new Scenario.Rooms(zones, delays.isEmpty() ? List.of(0.0) : delays);
    }

    private static Load load(Part p) {
        Load d = Scenario.PLAIN;
        double ratePerS = p.number("rate_per_s", d.ratePerS(), 0.1, 100_000);
        double workMs = p.number("work_ms", d.workMs(), 0.01, 10_000);
        int keys = p.whole("keys", d.keys(), 1, 10_000_000);
        double zipf = p.number("zipf", d.zipf(), 0, 5);
        int retries = p.whole("retries", d.retries(), 0, 10);
        List<Double> clubs = new ArrayList<>();
        TomlArray shares = p.array("clubs");
        for (int i = 0; shares != null && i < shares.size(); i++) {
            if (!(shares.get(i) instanceof Double share) || share <= 0 || share > 1) {
                throw p.bad(shares.inputPositionOf(i), "clubs holds something else than shares from 0 to 1");
            }
            clubs.add(share);
        }
        p.done();
        double sum = clubs.stream().mapToDouble(c -> c).sum();
        if (!clubs.isEmpty() && Math.abs(sum - 1) > 1e-6) {
            throw p.bad(p.at("clubs"), "the shares of clubs make " + sum + " and not 1");
        }
        return new Load(ratePerS, workMs, keys, zipf, retries, clubs.isEmpty() ? d.clubs() : clubs);
    }

    private static Fault fault(Part p, Scenario.Size size, Load load, int zones, double seconds) {
        String word = p.text("kind", "");
        Fault.Kind kind = null;
        for (Fault.Kind k : Fault.Kind.values()) {
            kind = k.word().equals(word) ? k : kind;
        }
        if (kind == null) {
            throw p.bad(p.at("kind"), "kind is not one of " + String.join(", ",
                Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList()));
        }
        Set<Fault.Figure> has = kind.figures;
        double atS = p.needed("at_s", 0, seconds);
        double forS = has.contains(Fault.Figure.FOR_S) ? p.number("for_s", 0, 0, LONGEST_S) : 0;
        double noticedS = has.contains(Fault.Figure.NOTICED_S) ? p.number("noticed_s", 2, 0, LONGEST_S) : 0;
        int target = has.contains(Fault.Figure.NODE) ? p.whole("node", 0, 0, size.nodes() - 1)
            : has.contains(Fault.Figure.PROXY) ? (int) p.needed("proxy", 0, size.proxies() - 1)
            : has.contains(Fault.Figure.CLUB) ? (int) p.needed("club", 0, load.clubs().size() - 1)
            : kind.ofZone() ? (int) p.needed("zone", 0, zones - 1) : 0;
        double part = has.contains(Fault.Figure.PART) ? p.number("part", 0, 0, 1) : 0;
        double times = has.contains(Fault.Figure.TIMES) ? p.needed("times", 0.01, 1000) : 0;
        double chance = has.contains(Fault.Figure.CHANCE) ? p.needed("chance", 0, 1) : 0;
        p.done();
        return new Fault(kind, atS, forS, noticedS, target, part, times, chance);
    }

    /** As {@link #read} takes it. */
    static String write(Scenario s) {
        StringBuilder out = new StringBuilder();
        out.append("name = \"").append(s.name().replace("\\", "\\\\").replace("\"", "\\\"")).append("\"\n");
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
            line(out, "kind", "\"" + f.kind().word() + "\"");
            line(out, "at_s", f.atS());
            for (Fault.Figure figure : f.kind().figures) {
                line(out, figure.name().toLowerCase(Locale.ROOT), switch (figure) {
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

    /** A table of the file: gives out its values checked, and knows which of its keys were asked for. */
    private static final class Part {
        private final String file;
        private final String what;
        private final TomlTable table;
        private final TomlPosition start;
        private final Set<String> asked = new TreeSet<>();

        Part(String file, String what, TomlTable table, TomlPosition start) {
            this.file = file;
            this.what = what;
            this.table = table;
            this.start = start;
        }

        TomlPosition at(String key) {
            TomlPosition at = table.inputPositionOf(List.of(key));
            return at == null ? start : at;
        }

        BadInput bad(TomlPosition at, String why) {
            return new BadInput(file + (at == null ? "" : " line " + at.line()) + ": " + why);
        }

        private Object value(String key) {
            asked.add(key);
            return table.get(List.of(key));
        }

        String text(String key, String fallback) {
            Object value = value(key);
            if (value == null || value instanceof String) {
                return value == null ? fallback : (String) value;
            }
            throw bad(at(key), key + " is no text");
        }

        double number(String key, double fallback, double least, double most) {
            Object value = value(key);
            if (value == null) {
                return fallback;
            }
            if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
                return n.doubleValue();
            }
            throw bad(at(key), key + " in " + what + " is not a number from " + least + " to " + most
                + ": " + value);
        }

        double needed(String key, double least, double most) {
            if (value(key) == null) {
                throw bad(start, key + " is missing from " + what);
            }
            return number(key, 0, least, most);
        }

        int whole(String key, int fallback, int least, int most) {
            double value = number(key, fallback, least, most);
            if (value != Math.rint(value)) {
                throw bad(at(key), key + " in " + what + " is not a whole number: " + value);
            }
            return (int) value;
        }

        TomlArray array(String key) {
            Object value = value(key);
            if (value == null || value instanceof TomlArray) {
                return (TomlArray) value;
            }
            throw bad(at(key), key + " in " + what + " is no list");
        }

        Part part(String key) {
            Object value = value(key);
            if (value != null && !(value instanceof TomlTable)) {
                throw bad(at(key), key + " is no table, [" + key + "]");
            }
            return new Part(file, "[" + key + "]", value == null ? Toml.parse("") : (TomlTable) value,
                at(key));
        }

        /** All that there is was asked for. */
        void done() {
            for (String key : table.keySet()) {
                if (!asked.contains(key)) {
                    throw bad(at(key), key + " is unknown in " + what + "; known are "
                        + String.join(", ", asked));
                }
            }
        }
    }
}
