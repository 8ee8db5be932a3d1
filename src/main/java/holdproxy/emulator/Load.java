package holdproxy.emulator;

import holdproxy.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlArray;

/**
 * The load that clients offer.
 *
 * @param ratePerS new operations a second of all clubs together
 * @param workMs mean work of a request on a standard core, in milliseconds
 * @param keys number of distinct keys
 * @param zipf exponent of the Zipf distribution of key popularity
 * @param retries most retries per operation
 * @param clubs each club's share of the load, in the order of the settings
 */
public record Load(
        double ratePerS, double workMs, int keys, double zipf, int retries, List<Double> clubs) {
    public static final Load DEFAULT = new Load(62, 40, 20_000, 0.9, 2, List.of(0.45, 0.37, 0.18));

    /** Reads the load of a scenario file; missing keys take their value from {@link #DEFAULT}. */
    public static Load read(TomlSection part) {
        Load defaults = DEFAULT;
        double ratePerS = part.number("rate_per_s", defaults.ratePerS(), 0.1, 100_000);
        double workMs = part.number("work_ms", defaults.workMs(), 0.01, 10_000);
        int keys = part.integer("keys", defaults.keys(), 1, 10_000_000);
        double zipf = part.number("zipf", defaults.zipf(), 0, 5);
        int retries = part.integer("retries", defaults.retries(), 0, 10);
        List<Double> clubs = new ArrayList<>();
        TomlArray shares = part.array("clubs");
        for (int i = 0; shares != null && i < shares.size(); i++) {
            if (!(shares.get(i) instanceof Double share) || share <= 0 || share > 1) {
                throw part.error(
                        shares.inputPositionOf(i),
                        "clubs holds something else than shares from 0 to 1");
            }
            clubs.add(share);
        }
        part.rejectUnknownKeys();
        double sum = clubs.stream().mapToDouble(c -> c).sum();
        if (!clubs.isEmpty() && Math.abs(sum - 1) > 1e-6) {
            throw part.error(
                    part.positionOf("clubs"), "the shares of clubs make " + sum + " and not 1");
        }
        return new Load(
                ratePerS, workMs, keys, zipf, retries, clubs.isEmpty() ? defaults.clubs() : clubs);
    }
}
