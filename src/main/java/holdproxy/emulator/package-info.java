/** The emulated site of the proxies: cache nodes, origin, discovery, clients, and auditors of its record. */
package holdproxy.emulator;
