package holdproxy.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * What this process says it does: one JSON line for each event, with its own monotonic clock, by which a
 * history of several processes can be put together.
 */
final class EventLog {
    /** The key of the monotonic clock's reading, in microseconds from no particular moment. */
    static final String CLOCK = "mono_us";

    private static final Logger LOG = LoggerFactory.getLogger("holdproxy");

    private EventLog() {}

    /** An event with keys and values in turn. */
    static void event(String name, Object... keysAndValues) {
        LoggingEventBuilder event = LOG.atInfo().addKeyValue(CLOCK, System.nanoTime() / 1000);
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            event = event.addKeyValue((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        event.log(name);
    }

    /** A line that the proxy itself logs. */
    static void line(String text) {
        LOG.info(text);
    }
}
