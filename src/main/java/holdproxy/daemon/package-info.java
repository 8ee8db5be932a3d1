/**
 * The process for installations of our own, {@code holdproxy daemon}: its file, its log, its life cycle, and
 * the parts by which a fleet cooperates. They stand around the same proxy that {@code serve} runs; the proxy
 * knows nothing of them.
 */
package holdproxy.daemon;
