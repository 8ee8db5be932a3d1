package holdproxy.lab;

/** What the fan-out simulation does to a fleet. */
enum FanoutFault {
    /** A relay's process ends, and starts again later. */
    RELAY_KILLED,
    /** A relay's machine is lost without a word, and starts again later. */
    RELAY_VANISHED,
    /** A relay stands still for ten seconds. */
    RELAY_STOPPED,
    /** Nothing reaches a relay, or nothing that it sends arrives. */
    RELAY_CUT_ONE_WAY,
    /** A region loses all others while changes go on. */
    REGION_CUT,
    /** A publisher whose lease has passed to another publishes once more. */
    OLD_HOLDER,
    /** A proxy takes nothing. */
    SLOW_READER,
    /** A control machine ends, and starts again from its snapshot. */
    CONTROL_LOST,
    /** What goes down some links arrives twice or in another order. */
    DUPLICATES_AND_REORDERING,
    /** All proxies end and start again at once. */
    ALL_AT_ONCE,
    /** A site's relay and proxies end and start again. */
    SITE_RESTARTED,
    /** All disks of control machines but one are lost, and the log is founded anew. */
    EPOCH_ANEW
}
