package holdproxy.console;

import java.util.function.Consumer;

/** What operators' calls ask of a proxy. Called on the console's thread, which must not be held up. */
public interface Operations {
    /** Whether this process takes clients now. */
    boolean takesClients();

    /** The figures that {@code vars} reports. */
    Figures figures();

    /**
     * Leaves a cache node out, or uses it again. {@code answer} gets null once it holds, else why not; on any
     * thread, once.
     */
    void leaveOut(String node, boolean out, Consumer<String> answer);
}
