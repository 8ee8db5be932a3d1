/**
 * TCP transport for the fan-out protocol of {@link holdproxy.fanout}. A frame is a length followed by one
 * CBOR message; every state machine runs on the one event loop that it was given.
 */
package holdproxy.fanout.transport;
