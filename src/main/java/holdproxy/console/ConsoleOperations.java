package holdproxy.console;

import java.util.function.Consumer;

/** The proxy's side of console commands. Called on the console's thread; must not block. */
public interface ConsoleOperations {
    /** Whether this process currently accepts clients. */
    boolean acceptsClients();

    /** The figures that {@code vars} reports. */
    Figures figures();

    /**
     * Takes a cache node out of use, or uses it again. {@code answer} is called once, on any thread, with
     * null when the change is effective or with the reason why it failed.
     */
    void setNodeExcluded(String node, boolean out, Consumer<String> answer);
}
