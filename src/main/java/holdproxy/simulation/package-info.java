/** Simulation in virtual time: the real proxy and the cooperating parts under scheduled and random faults. */
package holdproxy.simulation;
