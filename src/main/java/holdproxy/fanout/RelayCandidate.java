package holdproxy.fanout;

/**
 * A relay, or a control machine, that a subscriber may ask.
 *
 * @param name unique among candidates
 * @param address where the transport finds it
 * @param site its own site's relays are a proxy's first choice; empty where sites do not matter
 */
public record RelayCandidate(String name, String address, String site) {}
