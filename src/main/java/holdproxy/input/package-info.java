/** Parsing and checking of settings, and the exception for invalid input. */
package holdproxy.input;
