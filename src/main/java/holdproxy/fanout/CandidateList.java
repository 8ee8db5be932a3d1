package holdproxy.fanout;

import java.util.ArrayList;
import java.util.List;

/** Relay candidates in order of preference; candidates that failed are avoided for a while. */
final class CandidateList {
    private static final int MAX_DOUBLINGS = 30;

    private static final class Entry {
        final RelayCandidate candidate;
        int failures;
        long avoidUntilUs;

        Entry(RelayCandidate candidate) {
            this.candidate = candidate;
        }
    }

    private final long avoidUs;
    private final long avoidMaxUs;
    private List<Entry> entries = List.of();

    CandidateList(FanoutSettings.SubscriberSettings settings) {
        avoidUs = settings.avoidUs();
        avoidMaxUs = settings.avoidMaxUs();
    }

    /** Replaces the candidates; those that remain keep their failure history. */
    void replace(List<RelayCandidate> candidates) {
        List<Entry> updated = new ArrayList<>();
        for (RelayCandidate candidate : candidates) {
            Entry existing = find(candidate);
            updated.add(existing != null ? existing : new Entry(candidate));
        }
        entries = updated;
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
    boolean hasOtherAvailable(RelayCandidate candidate, long nowUs) {
        return entries.stream()
                .anyMatch(e -> !e.candidate.equals(candidate) && e.avoidUntilUs <= nowUs);
    }

    /** Whether a more preferred candidate is not avoided. */
    boolean hasPreferredAvailable(RelayCandidate candidate, long nowUs) {
        for (Entry entry : entries) {
            if (entry.candidate.equals(candidate)) {
                return false;
            }
            if (entry.avoidUntilUs <= nowUs) {
                return true;
            }
        }
        return false;
    }

    /** Avoids the candidate, for longer with each consecutive failure. */
    void recordFailure(RelayCandidate candidate, long nowUs) {
        Entry entry = find(candidate);
        if (entry != null) {
            int doublings = Math.min(MAX_DOUBLINGS, entry.failures++);
            avoid(candidate, nowUs + Math.min(avoidMaxUs, avoidUs << doublings));
        }
    }

    void avoid(RelayCandidate candidate, long untilUs) {
        Entry entry = find(candidate);
        if (entry != null) {
            entry.avoidUntilUs = Math.max(entry.avoidUntilUs, untilUs);
        }
    }

    /** The candidate has served for long enough: forgets its failures. */
    void recordSuccess(RelayCandidate candidate) {
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
