/**
 * Fan-out of versioned changes from control machines through relays to proxies: the protocol logic,
 * the messages and their codec. Time, randomness and connections are passed in by the caller; {@code
 * docs/FANOUT.md} describes the protocol.
 */
package holdproxy.fanout;
