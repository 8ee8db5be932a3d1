/**
 * A log replicated by three or five voters. MicroRaft provides Raft, behind
 * {@link holdproxy.consensus.RaftGroup}; this package adds its storage, its codec and the replacement of
 * voters that lost their disk.
 */
package holdproxy.consensus;
