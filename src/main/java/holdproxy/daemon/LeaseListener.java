package holdproxy.daemon;

/** Hears whether this process holds a lease, on the consensus part's event loop. */
interface LeaseListener {
    void granted(long token);

    void ended();
}
