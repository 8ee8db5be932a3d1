package holdproxy.net;

import java.nio.file.Path;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Where a running process has its next configuration from.
 *
 * @param file what operators replace
 * @param read reads it again, given the configuration of the start; a {@code BadInput} says what is
 *     wrong with it
 */
public record ConfigSource(Path file, UnaryOperator<Config> read) {
    /** The platform's: the file that {@code LB_CONFIG} names, which a start has read already. */
    static ConfigSource of(Map<String, String> env) {
        return new ConfigSource(
                Path.of(Config.variable(env, "LB_CONFIG")), inUse -> inUse.reload(env));
    }
}
