package holdproxy.daemon;

/** Called on the consensus part's event loop when this process is granted or loses a lease. */
interface LeaseListener {
    void granted(long token);

    void ended();
}
