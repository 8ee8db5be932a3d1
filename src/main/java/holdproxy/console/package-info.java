/** The operators' console: line commands on an address of its own. */
package holdproxy.console;
