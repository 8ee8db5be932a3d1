/**
 * Duties that one process holds at a time: leases with fencing tokens, agreed by the council, each ended by
 * its holder's own clock before another's can begin.
 */
package holdproxy.duties;
