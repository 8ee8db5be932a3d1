/** The proxy itself: sockets, discovery, configuration and signals around the routing decisions. */
package holdproxy.net;
