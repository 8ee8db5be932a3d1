package holdproxy.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log: one JSON line per event. Each line has the reading of the process's monotonic clock, by
 * which the logs of several processes can be merged into one history.
 */
final class EventLog {
    /** Key of the monotonic clock's reading, in microseconds from an arbitrary origin. */
    static final String CLOCK_KEY = "mono_us";

    private static final Logger LOG = LoggerFactory.getLogger("holdproxy");

    private EventLog() {}

    /** Logs an event; keys and values alternate. */
    static void event(String name, Object... keysAndValues) {
        LoggingEventBuilder event = LOG.atInfo().addKeyValue(CLOCK_KEY, System.nanoTime() / 1000);
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            event = event.addKeyValue((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        event.log(name);
    }

    /** Logs a plain text line, such as those of the proxy. */
    static void line(String text) {
        LOG.info(text);
    }
}
