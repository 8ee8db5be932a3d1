package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** Relay candidates in order of preference; candidates that failed are avoided for a while. */
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

    /** Replaces the candidates; those that remain keep their failure history. */
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
     * Returns the first candidate that is not avoided, otherwise the one whose avoidance ends first;
     * null if there are no candidates.
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

    /** Whether any other candidate is not avoided. */
    boolean hasOther(RelayCandidate than, long nowUs) {
        return entries.stream().anyMatch(e -> !e.candidate.equals(than) && e.avoidUntilUs <= nowUs);
    }

    /** Whether a more preferred candidate is not avoided. */
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

    /** Avoids the candidate, for longer with each consecutive failure. */
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

    /** The candidate has served for long enough: forgets its failures. */
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
