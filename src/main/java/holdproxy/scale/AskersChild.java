package holdproxy.scale;

import holdproxy.consensus.RaftGroup;
import holdproxy.input.BadInput;
import holdproxy.lease.LeaseClient;
import holdproxy.lease.LeaseTable;
import holdproxy.membership.Links;
import holdproxy.membership.MembershipService;
import holdproxy.net.Config;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Child process with many simulated lease clients ("askers"). Each runs the real lease client and a
 * non-voting instance of the consensus group on connections of its own. Commands: stats.
 */
@Command(name = "askers", hidden = true)
final class AskersChild extends ChildCommand {
    /** The lease that every daemon requests. */
    private static final String ROLE = "planner";

    private static final int LEASE_MS = 3_000;

    /** First byte of a consensus frame, as in the daemon's format. */
    private static final byte CONSENSUS_FRAME = 0;

    @Option(names = "--count", required = true)
    private int count;

    /** Selects the range of listen addresses, see {@link #address}. */
    @Option(names = "--fleet", required = true)
    private int fleet;

    @Option(names = "--voter", required = true)
    private List<String> voters;

    private final List<Asker> askers = new ArrayList<>();
    private long startNs;
    private long rejectedFrames;

    /** Listen address of an asker. */
    static InetSocketAddress address(int fleet, int asker) {
        return LoopbackNetwork.address(
                5 + fleet, asker / 250, asker % 250 + 1, Port.ASKERS.number());
    }

    static String name(int asker) {
        return "asker-" + asker;
    }

    @Override
    void start() {
        startNs = System.nanoTime();
        Map<String, InetSocketAddress> routes = new HashMap<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < voters.size(); i++) {
            names.add("daemon-" + i);
            routes.put("daemon-" + i, Config.address(voters.get(i), "a voter"));
        }
        for (int i = 0; i < count; i++) {
            askers.add(new Asker(i, names, routes));
        }
    }

    @Override
    void handle(String[] words, Map<String, Object> answer) throws Exception {
        if (!words[0].equals("stats")) {
            throw unknownCommand(words);
        }
        answer.put("frames", askers.stream().mapToLong(a -> a.links.sentFrames()).sum());
        answer.put("bytes", askers.stream().mapToLong(a -> a.links.sentBytes()).sum());
        answer.put("holding", askers.stream().filter(a -> a.holdsLease).count());
        answer.put("unread", rejectedFrames);
    }

    private final class Asker implements RaftGroup.Host, LeaseClient.Host {
        private final Links links;
        private final RaftGroup group;
        private boolean holdsLease;

        Asker(int number, List<String> names, Map<String, InetSocketAddress> routes) {
            links = new Links(loop, routes, text -> Config.address(text, "an address"), line -> {});
            links.listen(address(fleet, number));
            links.receive(MembershipService.CONSENSUS_FRAME_KIND, this::received);
            LeaseTable table = new LeaseTable();
            group = new RaftGroup(name(number), names, this, new Random(number), table);
            LeaseClient client =
                    new LeaseClient(name(number), 1, group, table, this, new Random(number));
            // spread over one lease period, as separate processes start at different times
            loop.schedule(
                    () -> client.want(ROLE, LEASE_MS),
                    (long) number * LEASE_MS / Math.max(1, count),
                    TimeUnit.MILLISECONDS);
        }

        private void received(byte[] frame) {
            if (frame.length > 0 && frame[0] == CONSENSUS_FRAME) {
                byte[] rest = new byte[frame.length - 1];
                System.arraycopy(frame, 1, rest, 0, rest.length);
                try {
                    group.received(rest);
                } catch (BadInput e) {
                    rejectedFrames++;
                }
            }
        }

        @Override
        public long nowUs() {
            return (System.nanoTime() - startNs) / 1000;
        }

        @Override
        public void after(long us, Runnable task) {
            loop.schedule(task, Math.max(0, us), TimeUnit.MICROSECONDS);
        }

        @Override
        public void send(String to, byte[] frame) {
            links.send(
                    to,
                    "",
                    MembershipService.CONSENSUS_FRAME_KIND,
                    ByteBuffer.allocate(1 + frame.length).put(CONSENSUS_FRAME).put(frame).array());
        }

        @Override
        public void leadershipChanged(boolean now) {
            // cannot happen: it has no vote
        }

        @Override
        public void taskFailed(RuntimeException failure) {
            // cannot happen: without a vote it runs no Raft library code
        }

        @Override
        public void stoppedVoting(String why) {
            // cannot happen: it has no vote
        }

        @Override
        public void notifyRoleFree(String to, String duty, long token) {
            // only a voter's lease client notifies others
        }

        @Override
        public void granted(String duty, long token) {
            holdsLease = true;
        }

        @Override
        public void ended(String duty, long token, String why) {
            holdsLease = false;
        }
    }
}
