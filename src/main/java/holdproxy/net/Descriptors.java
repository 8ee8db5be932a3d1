package holdproxy.net;

/** How many connections a proxy may hold to clients and to nodes, within a bound on its descriptors. */
record Descriptors(int clients, int nodes) {
    /** Connections over the bound on clients that are still told so. */
    static final int REFUSING = 16;

    /** For the program itself: libraries, selectors, listeners, the console's callers, discovery. */
    private static final int OWN = 48;

    /** Of all descriptors clients hold no more than this part for requests: 1 of so many. */
    private static final int CLIENTS_PART = 3;

    /**
     * {@code shared}: another process may serve the same clients beside this one, within the same bound.
     * Clients are as many as before then, wherever they are, but each process has nodes and a program of its
     * own.
     */
    static Descriptors of(int most, boolean shared) {
        if (!shared) {
            int left = most - OWN;
            return new Descriptors(left / 2, left - left / 2 - REFUSING);
        }
        int clients = most / CLIENTS_PART;
        return new Descriptors(
                clients, Math.max(REFUSING, (most - clients - REFUSING - 2 * OWN) / 2));
    }
}
