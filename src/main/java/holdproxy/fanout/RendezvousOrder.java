package holdproxy.fanout;

import java.util.Comparator;
import java.util.List;

/**
 * Orders a subscriber's relay candidates by preference: candidates of its own site first, then the
 * others, each group by rendezvous hashing of the subscriber's and the relay's name. The subscribers
 * of a failed relay therefore spread over all remaining relays, and a new relay takes an equal share
 * from each.
 */
public final class RendezvousOrder {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousOrder() {}

    /** Returns the candidates, best first. {@code site} is the subscriber's own; empty for none. */
    public static List<RelayCandidate> of(
            String subscriber, String site, List<RelayCandidate> candidates) {
        return candidates.stream()
                .sorted(
                        Comparator.comparing(
                                        (RelayCandidate each) ->
                                                site.isEmpty() || !each.site().equals(site))
                                .thenComparing(
                                        each -> weight(subscriber, each.name()),
                                        Comparator.reverseOrder())
                                .thenComparing(RelayCandidate::name))
                .toList();
    }

    private static long weight(String subscriber, String candidate) {
        return mix(fnv1a(fnv1a(fnv1a(FNV_OFFSET, subscriber), "\n"), candidate));
    }

    private static long fnv1a(long hash, String text) {
        long result = hash;
        for (int i = 0; i < text.length(); i++) {
            result = (result ^ text.charAt(i)) * FNV_PRIME;
        }
        return result;
    }

    /** SplitMix64's finalizer: with FNV alone the last characters affect mostly the low bits. */
    private static long mix(long hash) {
        long result = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        result = (result ^ result >>> 27) * 0x94d049bb133111ebL;
        return result ^ result >>> 31;
    }
}
