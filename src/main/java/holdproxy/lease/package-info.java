/**
 * Leases with fencing tokens, each held by one process at a time. The table of grants is replicated by
 * {@link holdproxy.consensus.RaftGroup}; a holder stops, by its own clock, before the lease can be granted to
 * another process.
 */
package holdproxy.lease;
