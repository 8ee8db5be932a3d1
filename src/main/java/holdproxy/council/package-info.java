/**
 * Three or five processes of a fleet that agree on an ordered log: MicroRaft behind a seam, its messages, its
 * disk and its changes of members. Others ask them.
 */
package holdproxy.council;
