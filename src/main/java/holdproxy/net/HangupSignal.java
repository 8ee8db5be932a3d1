package holdproxy.net;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles SIGHUP, which by default ends a Java process. The JDK's only interface to signals,
 * {@code sun.misc.Signal}, is not a documented class and is therefore used by reflection.
 */
final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Runs {@code action} at each SIGHUP, on a new thread. Returns empty on success, otherwise the reason
     * why it never runs: a JVM that was started with the signal ignored, as by {@code nohup}, keeps
     * ignoring it and returns SIG_IGN as the previous handler.
     */
    static Optional<String> handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance(NAME),
                                    handling);
            return before == handler.getField("SIG_IGN").get(null)
                    ? Optional.of(
                            "SIGHUP has no effect: whoever started this process had it ignored")
                    : Optional.empty();
        } catch (InvocationTargetException e) {
            return Optional.of("SIGHUP cannot be handled: " + e.getCause().getMessage());
        } catch (ReflectiveOperationException e) {
            return Optional.of("SIGHUP cannot be handled: " + e);
        }
    }
}
