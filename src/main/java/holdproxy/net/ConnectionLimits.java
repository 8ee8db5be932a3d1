package holdproxy.net;

/** Limits on the connections to clients and to nodes, which together keep within the descriptor limit. */
record ConnectionLimits(int clients, int nodes) {
    /** Connections above the client limit that are still accepted to send them a refusal. */
    static final int REFUSAL_RESERVE = 16;

    /** Reserved for the process: libraries, selectors, listeners, console connections, discovery. */
    private static final int RESERVED = 48;

    /** Divisor for the share of clients in all descriptors where two processes share the limit. */
    private static final int SHARED_CLIENTS_DIVISOR = 3;

    /**
     * {@code shared}: during an upgrade another process serves the same clients within the same limit. The
     * clients are counted once, whichever process holds them, but each process needs its own descriptors for
     * node connections and for itself.
     */
    static ConnectionLimits of(int limit, boolean shared) {
        if (!shared) {
            int available = limit - RESERVED;
            return new ConnectionLimits(available / 2, available - available / 2 - REFUSAL_RESERVE);
        }
        int clients = limit / SHARED_CLIENTS_DIVISOR;
        return new ConnectionLimits(
                clients,
                Math.max(REFUSAL_RESERVE, (limit - clients - REFUSAL_RESERVE - 2 * RESERVED) / 2));
    }
}
