package holdproxy.console;

/** What operators' calls ask of a proxy. Called on the console's thread, which must not be held up. */
public interface Operations {
    /** Whether this process takes clients now. */
    boolean takesClients();

    Figures figures();
}
