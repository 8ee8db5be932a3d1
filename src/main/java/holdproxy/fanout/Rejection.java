package holdproxy.fanout;

/**
 * A state that a process does not put into force.
 *
 * @param name of the process
 * @param position of the rejected state
 * @param reason one line, truncated if too long
 */
public record Rejection(String name, Position position, String reason) {}
