/** Runs the routing policy behind the frame protocol of an external simulator. */
package holdproxy.sim;
