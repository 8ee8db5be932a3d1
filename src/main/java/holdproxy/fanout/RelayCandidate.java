package holdproxy.fanout;

/**
 * A relay, or a control machine, that a subscriber may connect to.
 *
 * @param name unique among candidates
 * @param address in the form that the transport understands
 * @param site where it runs; a proxy prefers relays of its own site. Empty if sites are not used
 */
public record RelayCandidate(String name, String address, String site) {}
