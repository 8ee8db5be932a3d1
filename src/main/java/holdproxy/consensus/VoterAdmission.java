package holdproxy.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import java.util.Optional;

/** Admission by the leader of a voter with an empty disk, in place of the earlier voter of that name. */
final class VoterAdmission {
    private VoterAdmission() {}

    /**
     * Takes the next step: removes the earlier voter of this name, adds the new one as a learner, then
     * promotes it. Does nothing if a membership change is in progress; the new voter asks again, also when a
     * step fails.
     */
    static void step(RaftNode node, Voter newcomer) {
        var members = node.getEffectiveMembers();
        long index = members.getLogIndex();
        if (index != node.getCommittedMembers().getLogIndex()) {
            return;
        }
        Optional<RaftEndpoint> before =
                members.getMembers().stream()
                        .filter(member -> isPredecessor((Voter) member, newcomer))
                        .findFirst();
        if (before.isPresent()) {
            node.changeMembership(before.get(), MembershipChangeMode.REMOVE_MEMBER, index);
        } else if (!members.getMembers().contains(newcomer)) {
            node.changeMembership(newcomer, MembershipChangeMode.ADD_LEARNER, index);
        } else if (!members.getVotingMembers().contains(newcomer)) {
            node.changeMembership(newcomer, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, index);
        }
    }

    private static boolean isPredecessor(Voter member, Voter newcomer) {
        return member.name().equals(newcomer.name()) && !member.equals(newcomer);
    }
}
