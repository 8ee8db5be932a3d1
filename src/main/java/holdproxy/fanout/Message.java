package holdproxy.fanout;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What goes over a link between a subscriber and a relay. {@link Subscribe} and {@link Acknowledge}
 * go up, the others down. A control machine is a relay to those that subscribe at it.
 */
public sealed interface Message {

    /**
     * The first message on a link, and again where the subscriber has missed something: go on from here.
     *
     * @param name of the subscriber, unique; a second link under it ends the first
     * @param held what it holds; {@link Position#NONE} where it holds nothing
     */
    record Subscribe(String name, Position held) implements Message {}

    /**
     * Consecutive changes of one epoch.
     *
     * @param predecessor position that the first of them follows
     * @param changes at least one
     */
    record Batch(Position predecessor, List<Change> changes) implements Message {
        public Batch {
            changes = List.copyOf(changes);
            if (changes.isEmpty()) {
                throw new IllegalArgumentException("a batch has at least one change");
            }
            for (int i = 0; i < changes.size(); i++) {
                if (!changes.get(i).position().equals(predecessor.plus(i + 1L))) {
                    throw new IllegalArgumentException(
                            "a batch after "
                                    + predecessor
                                    + " has "
                                    + changes.get(i).position()
                                    + " as number "
                                    + i);
                }
            }
        }

        /** The position after all of them. */
        public Position last() {
            return predecessor.plus(changes.size());
        }
    }

    /**
     * A part of the state at a position.
     *
     * @param position of the whole snapshot
     * @param index of this part, from 0
     * @param parts how many the snapshot has
     * @param entries of this part; those of different parts do not overlap
     */
    record SnapshotPart(Position position, int index, int parts, SortedMap<String, Value> entries)
            implements Message {
        public SnapshotPart {
            entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
            if (index < 0 || index >= parts) {
                throw new IllegalArgumentException(
                        "a snapshot of " + parts + " parts has no part " + index);
            }
        }

        boolean isLast() {
            return index == parts - 1;
        }
    }

    /**
     * What the subscriber has; lets the relay send more. Also sent where its report has changed, and as a
     * sign of life.
     *
     * @param received all changes to this position have been received (accepted or not)
     * @param assembling position of the snapshot of which parts have come, else {@link Position#NONE}
     * @param parts how many of them
     * @param report what the subscriber, or the proxies below it, have in force
     */
    record Acknowledge(Position received, Position assembling, int parts, CoverageReport report)
            implements Message {}

    /**
     * A sign of life, at once after {@link Subscribe} and then in a fixed rhythm.
     *
     * @param newest what the relay holds
     * @param ageUs for how long the relay has not known that this is the newest there is, in microseconds, or
     *     {@link Relay.Source#UNKNOWN_AGE_US}
     */
    record Heartbeat(Position newest, long ageUs) implements Message {}

    /**
     * The relay does not serve the subscriber, or no longer; it closes the link.
     *
     * @param reason what for
     * @param detail in one line
     * @param retryAfterUs not to be asked again earlier, in microseconds
     */
    record Refuse(Reason reason, String detail, long retryAfterUs) implements Message {
        /** Why a relay does not serve. */
        public enum Reason {
            /** It serves as many as it may. */
            FULL,
            /** It holds an older epoch than the subscriber. */
            BEHIND,
            /** It ends by plan. */
            SHUTTING_DOWN
        }
    }
}
