/** A test harness: real processes on loopback, schedules of faults, and checks of the recorded history. */
package holdproxy.harness;
