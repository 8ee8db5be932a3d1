/** An emulated environment of the proxies: cache nodes, origin, discovery, clients, and auditors. */
package holdproxy.town;
