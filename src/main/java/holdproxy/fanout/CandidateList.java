package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** Relays in the order of preference, and which of them are avoided for a while since they failed. */
final class CandidateList {
    private static final int MOST_DOUBLINGS = 30;

    private static final class Entry {
        final RelayCandidate candidate;
        int failures;
        long avoidUntilUs;

        Entry(RelayCandidate candidate) {
            this.candidate = candidate;
        }
    }

    private final long avoidUs;
    private final long avoidMostUs;
    private List<Entry> entries = List.of();

    CandidateList(FanoutSettings.SubscriberSettings settings) {
        avoidUs = settings.avoidUs();
        avoidMostUs = settings.avoidMostUs();
    }

    /** What is known of those that stay is kept. */
    void replace(List<RelayCandidate> candidates) {
        List<Entry> fresh = new ArrayList<>();
        for (RelayCandidate candidate : candidates) {
            Entry before = find(candidate);
            fresh.add(before != null ? before : new Entry(candidate));
        }
        entries = fresh;
    }

    boolean contains(RelayCandidate candidate) {
        return find(candidate) != null;
    }

    /**
     * The first that is not avoided, else the one that is avoided for the shortest time; null:
     * there is none.
     */
    RelayCandidate choose(long nowUs) {
        Entry soonest = null;
        for (Entry entry : entries) {
            if (entry.avoidUntilUs <= nowUs) {
                return entry.candidate;
            }
            if (soonest == null || entry.avoidUntilUs < soonest.avoidUntilUs) {
                soonest = entry;
            }
        }
        return soonest == null ? null : soonest.candidate;
    }

    /** Whether another one is not avoided. */
    boolean hasOther(RelayCandidate than, long nowUs) {
        return entries.stream().anyMatch(e -> !e.candidate.equals(than) && e.avoidUntilUs <= nowUs);
    }

    /** Whether one before this is not avoided. */
    boolean hasBetter(RelayCandidate than, long nowUs) {
        for (Entry entry : entries) {
            if (entry.candidate.equals(than)) {
                return false;
            }
            if (entry.avoidUntilUs <= nowUs) {
                return true;
            }
        }
        return false;
    }

    /** It is avoided, for longer with each failure in a row. */
    void failed(RelayCandidate candidate, long nowUs) {
        Entry entry = find(candidate);
        if (entry != null) {
            int doublings = Math.min(MOST_DOUBLINGS, entry.failures++);
            avoid(candidate, nowUs + Math.min(avoidMostUs, avoidUs << doublings));
        }
    }

    void avoid(RelayCandidate candidate, long untilUs) {
        Entry entry = find(candidate);
        if (entry != null) {
            entry.avoidUntilUs = Math.max(entry.avoidUntilUs, untilUs);
        }
    }

    /** It has served for a while. */
    void proved(RelayCandidate candidate) {
        Entry entry = find(candidate);
        if (entry != null) {
            entry.failures = 0;
            entry.avoidUntilUs = 0;
        }
    }

    private Entry find(RelayCandidate candidate) {
        for (Entry entry : entries) {
            if (entry.candidate.equals(candidate)) {
                return entry;
            }
        }
        return null;
    }
}
