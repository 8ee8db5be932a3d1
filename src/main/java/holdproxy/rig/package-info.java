/** A test harness of real processes on loopback: schedules of faults, a history, and the judges of it. */
package holdproxy.rig;
