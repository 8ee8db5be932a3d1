/** Settings as text, and the error that names what is wrong with an input and where. */
package holdproxy.input;
