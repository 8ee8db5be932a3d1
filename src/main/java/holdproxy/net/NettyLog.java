package holdproxy.net;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Sends Netty's warnings and errors to {@link Log}. By default Netty looks for two logging libraries that
 * are not on the class path and then sets up java.util.logging, which costs processor time at the start.
 */
final class NettyLog extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;

    private final transient Log log;

    private NettyLog(String name, Log log) {
        super(name);
        this.log = log;
    }

    /** Must be called before any Netty class is loaded, as each keeps the logger that it got first. */
    static void install(Log log) {
        InternalLoggerFactory.setDefaultFactory(
                new InternalLoggerFactory() {
                    @Override
                    protected InternalLogger newInstance(String name) {
                        return new NettyLog(name, log);
                    }
                });
    }

    private void line(String format, Object... arguments) {
        log.line(name() + ": " + text(format, arguments));
    }

    /**
     * Formats as Netty does: {} is replaced by the next argument; an unused Throwable at the end is the
     * cause.
     */
    static String text(String format, Object... arguments) {
        StringBuilder text = new StringBuilder();
        int from = 0;
        int next = 0;
        int at = format.indexOf("{}");
        while (at >= 0 && next < arguments.length) {
            text.append(format, from, at).append(arguments[next++]);
            from = at + 2;
            at = format.indexOf("{}", from);
        }
        text.append(format, from, format.length());
        boolean cause =
                next < arguments.length && arguments[arguments.length - 1] instanceof Throwable;
        return cause
                ? text.append(": ").append(arguments[arguments.length - 1]).toString()
                : text.toString();
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String text) {
        line(text);
    }

    @Override
    public void warn(String format, Object argument) {
        line(format, argument);
    }

    @Override
    public void warn(String format, Object first, Object second) {
        line(format, first, second);
    }

    @Override
    public void warn(String format, Object... arguments) {
        line(format, arguments);
    }

    @Override
    public void warn(String text, Throwable cause) {
        line(text, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String text) {
        warn(text);
    }

    @Override
    public void error(String format, Object argument) {
        warn(format, argument);
    }

    @Override
    public void error(String format, Object first, Object second) {
        warn(format, first, second);
    }

    @Override
    public void error(String format, Object... arguments) {
        warn(format, arguments);
    }

    @Override
    public void error(String text, Throwable cause) {
        warn(text, cause);
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String text) {
        // not logged
    }

    @Override
    public void trace(String format, Object argument) {
        // not logged
    }

    @Override
    public void trace(String format, Object first, Object second) {
        // not logged
    }

    @Override
    public void trace(String format, Object... arguments) {
        // not logged
    }

    @Override
    public void trace(String text, Throwable cause) {
        // not logged
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String text) {
        // not logged
    }

    @Override
    public void debug(String format, Object argument) {
        // not logged
    }

    @Override
    public void debug(String format, Object first, Object second) {
        // not logged
    }

    @Override
    public void debug(String format, Object... arguments) {
        // not logged
    }

    @Override
    public void debug(String text, Throwable cause) {
        // not logged
    }

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String text) {
        // not logged
    }

    @Override
    public void info(String format, Object argument) {
        // not logged
    }

    @Override
    public void info(String format, Object first, Object second) {
        // not logged
    }

    @Override
    public void info(String format, Object... arguments) {
        // not logged
    }

    @Override
    public void info(String text, Throwable cause) {
        // not logged
    }
}
