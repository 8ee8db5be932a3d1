/** Routing policy: node selection, retries and admission. It does no I/O and reads no clock. */
package holdproxy.policy;
