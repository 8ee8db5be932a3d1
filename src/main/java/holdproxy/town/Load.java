package holdproxy.town;

import java.util.List;

/**
 * What is asked.
 *
 * @param ratePerS new requests a second of all clubs together
 * @param workMs mean work of one on a standard core, in milliseconds
 * @param keys different ones
 * @param zipf exponent of their popularity
 * @param retries how often a client tries again
 * @param clubs shares of the load, in the order of the settings
 */
public record Load(double ratePerS, double workMs, int keys, double zipf, int retries, List<Double> clubs) {
}
