package holdproxy.fanout;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A message on a link between a subscriber and a relay. {@link Subscribe} and {@link Acknowledge} are
 * sent by the subscriber, all others by the relay. A control machine acts as a relay for its direct
 * subscribers.
 */
public sealed interface Message {

    /**
     * Requests everything after a position. The first message on a link, and sent again when the
     * subscriber has missed something.
     *
     * @param name unique name of the subscriber; a second link with the same name closes the first
     * @param held position that it holds; {@link Position#NONE} if it holds nothing
     */
    record Subscribe(String name, Position held) implements Message {}

    /**
     * Consecutive changes of one epoch.
     *
     * @param predecessor position before the first change
     * @param changes at least one
     */
    record Batch(Position predecessor, List<Change> changes) implements Message {
        public Batch {
            changes = List.copyOf(changes);
            if (changes.isEmpty()) {
                throw new IllegalArgumentException("a batch must have at least one change");
            }
            for (int i = 0; i < changes.size(); i++) {
                if (!changes.get(i).position().equals(predecessor.plus(i + 1L))) {
                    throw new IllegalArgumentException(
                            "a batch after "
                                    + predecessor
                                    + " has position "
                                    + changes.get(i).position()
                                    + " at index "
                                    + i);
                }
            }
        }

        /** The position after the last change. */
        public Position last() {
            return predecessor.plus(changes.size());
        }
    }

    /**
     * A part of the state at a position.
     *
     * @param position of the snapshot
     * @param index of this part, from 0
     * @param parts number of parts of the snapshot
     * @param entries of this part; parts have no keys in common
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
     * Reports what the subscriber has received and allows the relay to send more. Also sent when the
     * coverage report has changed, and as a keepalive.
     *
     * @param received all changes up to this position have been received (accepted or not)
     * @param assembling position of a partly received snapshot, otherwise {@link Position#NONE}
     * @param parts number of its parts received
     * @param report what the subscriber, or the proxies below it, have in force
     */
    record Acknowledge(Position received, Position assembling, int parts, CoverageReport report)
            implements Message {}

    /**
     * Sent in answer to {@link Subscribe} and then at a fixed interval, as a keepalive.
     *
     * @param newest newest position that the relay holds
     * @param ageUs time in microseconds since the relay last knew this position to be the newest, or
     *     {@link Relay.Source#UNKNOWN_AGE_US}
     */
    record Heartbeat(Position newest, long ageUs) implements Message {}

    /**
     * The relay does not serve the subscriber, or stops serving it, and closes the link.
     *
     * @param reason why
     * @param detail one line for operators
     * @param retryAfterUs minimum time before the subscriber may try this relay again, in microseconds
     */
    record Refuse(Reason reason, String detail, long retryAfterUs) implements Message {
        /** Why a relay refuses a subscriber. */
        public enum Reason {
            /** The relay has reached its maximum number of subscribers. */
            FULL,
            /** The relay holds an older epoch than the subscriber. */
            BEHIND,
            /** The relay is shutting down. */
            SHUTTING_DOWN
        }
    }
}
