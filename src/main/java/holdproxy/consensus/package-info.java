/**
 * Agreement on a replicated log by three or five voters. Raft is provided by MicroRaft behind
 * {@link holdproxy.consensus.RaftGroup}; this package adds its storage, its codec and its changes of voters.
 */
package holdproxy.consensus;
