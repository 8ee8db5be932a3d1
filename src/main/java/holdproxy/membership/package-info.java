/**
 * Group membership: which processes of a fleet are alive, and which processes reported it. Contains the
 * protocol ({@link holdproxy.membership.Membership}), the messages between members, and the links that carry
 * them.
 */
package holdproxy.membership;
