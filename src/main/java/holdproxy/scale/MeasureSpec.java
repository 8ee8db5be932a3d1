package holdproxy.scale;

import holdproxy.toml.TomlPart;
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

    static MeasureSpec read(TomlPart part) {
        MeasurementKind kind = MeasurementKind.named(part.word("kind", MeasurementKind.NAMES));
        List<Integer> sizes = sizes(part);
        double seconds = part.number("seconds", 10, 0.1, MAX_SECONDS);
        int nodes = part.whole("nodes", 100, 1, MAX_NODES);
        int proxies = part.whole("proxies", 3, 1, MAX_REAL_PROXIES);
        List<FanoutFault> faults =
                part.texts("faults", FanoutFault::named).stream().map(FanoutFault::named).toList();
        int line = part.at("kind").line();
        part.done();
        return new MeasureSpec(kind, sizes, seconds, nodes, proxies, faults, line);
    }

    private static List<Integer> sizes(TomlPart part) {
        TomlArray array = part.array("sizes");
        if (array == null || array.isEmpty()) {
            throw part.bad(part.at("sizes"), "sizes is missing from [[measure]]");
        }
        List<Integer> sizes = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof Long size) || size < 1 || size > MAX_SIZE) {
                throw part.bad(
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
