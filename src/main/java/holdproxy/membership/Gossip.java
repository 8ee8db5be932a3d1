package holdproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Queue of updates to piggyback on messages; each is sent a bounded number of times. */
final class Gossip {
    private static final class Update {
        final Member member;
        int sent;

        Update(Member member) {
            this.member = member;
        }
    }

    private final Map<String, Update> queued = new LinkedHashMap<>();

    /** Queues an update and removes the queued updates that it replaces. */
    void add(Member member) {
        queued.values().removeIf(update -> isReplaced(update.member, member));
        String key = member.name() + " " + member.by() + " " + member.state();
        queued.put(key, new Update(member));
    }

    private static boolean isReplaced(Member earlier, Member later) {
        return earlier.name().equals(later.name())
                && !earlier.sameIncarnation(later)
                && later.replaces(earlier);
    }

    /**
     * Returns at most {@code maxUpdates} updates, those about the receiver first, then the least often sent.
     * An update that has been sent {@code maxSends} times is removed.
     */
    List<Member> next(String receiver, int maxUpdates, int maxSends) {
        List<Update> leastSent = new ArrayList<>(queued.values());
        leastSent.sort(
                Comparator.comparingInt(
                        (Update update) ->
                                update.member.name().equals(receiver) ? -1 : update.sent));
        List<Member> members = new ArrayList<>();
        for (Update each : leastSent.subList(0, Math.min(leastSent.size(), maxUpdates))) {
            members.add(each.member);
            each.sent++;
        }
        queued.values().removeIf(update -> update.sent >= maxSends);
        return members;
    }
}
