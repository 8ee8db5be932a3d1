package holdproxy.net;

import java.nio.file.Path;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Where a running process reads its next configuration.
 *
 * @param file the file that operators replace
 * @param read reads it again, given the configuration of the start; throws {@code BadInput} if it is invalid
 */
public record ConfigSource(Path file, UnaryOperator<Config> read) {
    /** The file that {@code LB_CONFIG} names. */
    static ConfigSource of(Map<String, String> env) {
        return new ConfigSource(
                Path.of(Config.variable(env, "LB_CONFIG")), inUse -> inUse.reload(env));
    }
}
