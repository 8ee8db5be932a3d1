package holdproxy.net;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * SIGHUP, which ends a Java program that does not handle it. The platform's only interface to signals is
 * outside its documented classes, so it is reached by name.
 */
final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Has each SIGHUP run this, on a thread of its own. Empty: it does. Otherwise the reason why it
     * never will: a virtual machine that was started with the signal ignored leaves it so, as
     * {@code nohup} asks for, and tells of it by naming "ignored" as the handler before this one.
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
