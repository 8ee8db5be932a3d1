/**
 * Which processes of a fleet live, by whose evidence: the rules ({@link holdproxy.peers.Membership}), what
 * they say to each other, and the links that carry it.
 */
package holdproxy.peers;
