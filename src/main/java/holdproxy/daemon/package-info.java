/**
 * The process for installations of our own, {@code holdproxy daemon}: its file, its log, its life, and the
 * parts by which a fleet cooperates, around the same proxy that {@code serve} runs, which knows nothing of
 * it.
 */
package holdproxy.daemon;
