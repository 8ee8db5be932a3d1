/**
 * Fan-out of versioned changes from control machines over relays to proxies: the rules, the
 * messages and their codec. Time, randomness and connections are handed in; {@code docs/FANOUT.md}
 * describes the protocol.
 */
package holdproxy.fanout;
