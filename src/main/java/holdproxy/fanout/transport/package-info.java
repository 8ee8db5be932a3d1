/**
 * Connections of the fan-out: the rules of {@link holdproxy.fanout} on TCP. Frames have a length and one CBOR
 * message; every state machine stays on the one event loop that it was given.
 */
package holdproxy.fanout.transport;
