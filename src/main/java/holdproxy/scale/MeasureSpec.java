package holdproxy.scale;

import holdproxy.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.tomlj.TomlArray;

/**
 * One measurement of a run: a {@code [[measure]]} entry of its file.
 *
 * @param kind what is measured
 * @param sizes at which it is measured
 * @param seconds how long each size is measured once it is steady
 * @param nodes number of cache nodes in discovery's list
 * @param proxies number of real proxies
 * @param faults injected one after another; ignored by kinds without faults
 * @param line line in the file, for errors
 */
record MeasureSpec(
        MeasurementKind kind,
        List<Integer> sizes,
        double seconds,
        int nodes,
        int proxies,
        List<FanoutFault> faults,
        int line) {
    private static final int MAX_SIZE = 1_000_000;
    private static final int MAX_NODES = 5_000;
    private static final int MAX_REAL_PROXIES = 10;
    private static final double MAX_SECONDS = 3_600;

    static MeasureSpec read(TomlSection part) {
        MeasurementKind kind =
                MeasurementKind.named(part.requiredChoice("kind", MeasurementKind.NAMES));
        List<Integer> sizes = sizes(part);
        double seconds = part.number("seconds", 10, 0.1, MAX_SECONDS);
        int nodes = part.integer("nodes", 100, 1, MAX_NODES);
        int proxies = part.integer("proxies", 3, 1, MAX_REAL_PROXIES);
        List<FanoutFault> faults =
                part.strings("faults", FanoutFault::named).stream()
                        .map(FanoutFault::named)
                        .toList();
        int line = part.positionOf("kind").line();
        part.rejectUnknownKeys();
        return new MeasureSpec(kind, sizes, seconds, nodes, proxies, faults, line);
    }

    private static List<Integer> sizes(TomlSection part) {
        TomlArray array = part.array("sizes");
        if (array == null || array.isEmpty()) {
            throw part.error(part.positionOf("sizes"), "sizes is missing from [[measure]]");
        }
        List<Integer> sizes = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof Long size) || size < 1 || size > MAX_SIZE) {
                throw part.error(
                        array.inputPositionOf(i),
                        String.format(
                                Locale.ROOT,
                                "sizes in [[measure]] has an entry that is no whole number from 1"
                                        + " to %d: %s",
                                MAX_SIZE,
                                array.get(i)));
            }
            sizes.add(size.intValue());
        }
        return sizes;
    }

    int largest() {
        return sizes.stream().mapToInt(size -> size).max().orElseThrow();
    }
}
