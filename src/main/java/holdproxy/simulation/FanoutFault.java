package holdproxy.simulation;

/** Faults that the fan-out simulation injects into a fleet. */
enum FanoutFault {
    /** A relay's process ends, and starts again later. */
    RELAY_KILLED,
    /** A relay's machine disappears without closing its connections, and starts again later. */
    RELAY_VANISHED,
    /** A relay is suspended for ten seconds. */
    RELAY_STOPPED,
    /** All traffic to a relay, or all traffic from it, is lost. */
    RELAY_CUT_ONE_WAY,
    /** A region is cut off from all others while changes continue. */
    REGION_CUT,
    /** A publisher whose lease has passed to another publishes once more. */
    OLD_HOLDER,
    /** A proxy stops reading from its connection. */
    SLOW_READER,
    /** A control machine ends, and starts again from its snapshot. */
    CONTROL_LOST,
    /** Messages from upstream on some links are duplicated or reordered. */
    DUPLICATES_AND_REORDERING,
    /** All proxies end and start again at once. */
    ALL_AT_ONCE,
    /** A site's relay and proxies end and start again. */
    SITE_RESTARTED,
    /**
     * All disks of control machines but one are lost, and the log is created anew under a new
     * epoch.
     */
    EPOCH_ANEW
}
