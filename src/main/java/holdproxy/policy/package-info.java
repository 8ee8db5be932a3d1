/** Routing decisions: which cache node, whether to retry, what to refuse. No I/O and no clock. */
package holdproxy.policy;
