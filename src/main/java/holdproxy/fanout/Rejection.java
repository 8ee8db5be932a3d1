package holdproxy.fanout;

/**
 * A process that does not put a state into force.
 *
 * @param name of the process
 * @param position of the state that it rejects
 * @param reason in one line, cut where it is too long
 */
public record Rejection(String name, Position position, String reason) {}
