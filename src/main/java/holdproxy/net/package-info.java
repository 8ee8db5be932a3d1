/** The proxy process around the router: sockets, discovery, configuration and signals. */
package holdproxy.net;
