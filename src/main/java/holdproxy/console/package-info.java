/** The operators' console: line commands on a separate address. */
package holdproxy.console;
