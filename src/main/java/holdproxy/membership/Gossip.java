package holdproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Words of others that have not gone round yet, each passed on so often and then no more. */
final class Gossip {
    private static final class Update {
        final Member word;
        int sent;

        Update(Member word) {
            this.word = word;
        }
    }

    private final Map<String, Update> all = new LinkedHashMap<>();

    /** To be passed on; what it replaces no longer is. */
    void add(Member word) {
        all.values()
                .removeIf(
                        r ->
                                r.word.name().equals(word.name())
                                        && !r.word.sameWord(word)
                                        && word.replaces(r.word));
        all.put(word.name() + " " + word.by() + " " + word.state(), new Update(word));
    }

    /** So many at most, the least passed on first, and before them what the receiver is to hear of itself. */
    List<Member> next(String receiver, int most, int rounds) {
        List<Update> least = new ArrayList<>(all.values());
        least.sort(
                Comparator.comparingInt(
                        (Update r) -> r.word.name().equals(receiver) ? -1 : r.sent));
        List<Member> words = new ArrayList<>();
        for (Update each : least.subList(0, Math.min(least.size(), most))) {
            words.add(each.word);
            each.sent++;
        }
        all.values().removeIf(r -> r.sent >= rounds);
        return words;
    }
}
