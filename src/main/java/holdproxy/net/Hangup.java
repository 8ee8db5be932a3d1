package holdproxy.net;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java program that does not handle it. The platform's only interface to signals is
 * outside its documented classes, so it is reached by name; without it SIGHUP ends the proxy as before.
 */
final class Hangup {
    private Hangup() {}

    /** Has each SIGHUP run this, on a thread of its own. */
    static void handle(Runnable action) {
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
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            System.err.println("holdproxy: SIGHUP is not handled: " + e);
        }
    }
}
