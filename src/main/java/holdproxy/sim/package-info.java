/** The routing decisions behind the frame protocol of an external simulator. */
package holdproxy.sim;
