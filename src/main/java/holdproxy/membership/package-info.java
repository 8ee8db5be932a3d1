/**
 * Group membership: which processes of a fleet live, and on whose evidence. Holds the rules
 * ({@link holdproxy.membership.Membership}), the messages between members, and the links that carry them.
 */
package holdproxy.membership;
