/**
 * {@code holdproxy daemon}, the process for self-managed fleets: its configuration file, log and life cycle,
 * and the parts by which a fleet cooperates. It runs the same proxy as {@code serve}; the proxy does not
 * depend on this package.
 */
package holdproxy.daemon;
