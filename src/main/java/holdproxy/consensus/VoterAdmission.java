package holdproxy.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import java.util.Optional;

/** How a leader lets in a voter that begins with an empty disk, in place of what its name was before. */
final class VoterAdmission {
    private VoterAdmission() {}

    /**
     * Takes the next step: out with what this name was before, in with what it is, first without a vote.
     * Where a change is under way or fails nothing is done; the newcomer asks again.
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
