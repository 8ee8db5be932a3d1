package holdproxy.simulation;

import holdproxy.fanout.Change;
import holdproxy.fanout.ChangeLog;
import holdproxy.fanout.ChangeLogOperations;
import holdproxy.fanout.CoverageReport;
import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Message;
import holdproxy.fanout.Position;
import holdproxy.fanout.Relay;
import holdproxy.fanout.RelayCandidate;
import holdproxy.fanout.RendezvousOrder;
import holdproxy.fanout.Replica;
import holdproxy.fanout.Safeguard;
import holdproxy.fanout.Subscriber;
import holdproxy.fanout.Value;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Supplier;

/** The kinds of processes of the fan-out simulation, each running the production protocol code. */
final class FanoutProcesses {
    /** What all processes of a simulation share. */
    record Environment(
            SimulatedClock time,
            Random random,
            FanoutNetwork network,
            FanoutSettings settings,
            Set<Safeguard> safeguards,
            FanoutChecker checker) {}

    private FanoutProcesses() {}

    /** The transport and the timer of a subscriber. */
    private static final class Uplink implements Subscriber.Output, FanoutNetwork.Client {
        private final FanoutNode node;
        private final Environment around;
        private final Subscriber subscriber;
        private final FanoutNode.Timer alarm;

        Uplink(
                FanoutNode node,
                Environment around,
                Replica replica,
                Subscriber.Consumer consumer,
                Supplier<CoverageReport> below) {
            this.node = node;
            this.around = around;
            subscriber =
                    new Subscriber(
                            node.name,
                            around.settings,
                            replica,
                            consumer,
                            below,
                            this,
                            new Random(around.random.nextLong()),
                            around.time.nowUs(),
                            around.safeguards);
            alarm = node.new Timer(subscriber::nextTickUs, subscriber::tick);
        }

        void start(List<RelayCandidate> candidates) {
            subscriber.setCandidates(
                    around.time.nowUs(), RendezvousOrder.of(node.name, node.site, candidates));
            alarm.set();
        }

        @Override
        public void dial(long link, RelayCandidate candidate) {
            around.network.dial(node, this, link, candidate.name());
        }

        @Override
        public void send(long link, Message message) {
            around.network.sendUp(node, link, message);
        }

        @Override
        public void close(long link, String reason) {
            around.network.closeByClient(node, link);
        }

        @Override
        public void connected(long link) {
            subscriber.connected(around.time.nowUs(), link);
            alarm.set();
        }

        @Override
        public void received(long link, Message message) {
            subscriber.receive(around.time.nowUs(), link, message);
            alarm.set();
        }

        @Override
        public void closed(long link, String reason) {
            subscriber.disconnected(around.time.nowUs(), link, reason);
            alarm.set();
        }
    }

    /** The transport and the timer of a relay. */
    private static final class Downlinks implements Relay.Output, FanoutNetwork.Server {
        private final Environment around;
        private final Relay relay;
        private final FanoutNode.Timer alarm;
        private final Map<Long, FanoutNetwork.Connection> connections = new HashMap<>();

        Downlinks(FanoutNode node, Environment around, Relay.Source source) {
            this.around = around;
            relay =
                    new Relay(
                            around.settings, source, this, around.time.nowUs(), around.safeguards);
            alarm = node.new Timer(relay::nextTickUs, relay::tick);
            alarm.set();
            around.network.listen(node, this);
        }

        void advanced() {
            relay.sourceChanged(around.time.nowUs());
            alarm.set();
        }

        @Override
        public void send(long link, Message message) {
            FanoutNetwork.Connection connection = connections.get(link);
            if (connection != null) {
                around.network.sendDown(connection, message);
            }
        }

        @Override
        public void close(long link, String reason) {
            FanoutNetwork.Connection connection = connections.remove(link);
            if (connection != null) {
                around.network.closeByServer(connection);
            }
        }

        @Override
        public void received(FanoutNetwork.Connection connection, Message message) {
            connections.put(connection.number, connection);
            relay.receive(around.time.nowUs(), connection.number, message);
            alarm.set();
        }

        @Override
        public void closed(FanoutNetwork.Connection connection) {
            connections.remove(connection.number);
            relay.disconnected(around.time.nowUs(), connection.number);
            alarm.set();
        }
    }

    /** A proxy, which rejects states that are forbidden for its group. */
    static final class Proxy extends FanoutNode {
        /** A state that contains this key is rejected by the group named in its value. */
        static final String FORBIDDEN = "forbidden";

        static final int GROUPS = 7;

        final int group;
        final Subscriber subscriber;
        private final Environment around;
        private final Uplink uplink;

        Proxy(
                Environment around,
                String name,
                String region,
                String site,
                int group,
                Replica restored) {
            super(around.time, name, region, site);
            this.around = around;
            this.group = group;
            around.checker.processStarted(this, restored.position());
            uplink = new Uplink(this, around, restored, this::offered, null);
            subscriber = uplink.subscriber;
        }

        void start(List<RelayCandidate> relays) {
            uplink.start(relays);
        }

        boolean accepts(SortedMap<String, Value> state) {
            Value forbidden = state.get(FORBIDDEN);
            return forbidden == null || !forbidden.text().equals(String.valueOf(group));
        }

        private Optional<String> offered(
                long nowUs,
                Position position,
                SortedMap<String, Value> state,
                List<Change> changes) {
            boolean accepted = accepts(state);
            around.checker.offered(this, position, state, changes, accepted);
            return accepted ? Optional.empty() : Optional.of("group " + group + " is forbidden");
        }
    }

    /** A site's relay: a subscriber of control machines that serves proxies. */
    static final class SiteRelay extends FanoutNode {
        final Subscriber subscriber;
        final Relay relay;
        private final Uplink uplink;
        private final Downlinks downlinks;

        SiteRelay(Environment around, String name, String region, String site) {
            super(around.time, name, region, site);
            Replica replica = new Replica(around.settings.limits());
            around.checker.processStarted(this, replica.position());
            uplink =
                    new Uplink(
                            this,
                            around,
                            replica,
                            (nowUs, position, state, changes) -> {
                                around.checker.offered(this, position, state, changes, true);
                                advanced();
                                return Optional.empty();
                            },
                            this::report);
            subscriber = uplink.subscriber;
            downlinks = new Downlinks(this, around, subscriber);
            relay = downlinks.relay;
        }

        void start(List<RelayCandidate> controls) {
            uplink.start(controls);
        }

        private void advanced() {
            downlinks.advanced();
        }

        private CoverageReport report() {
            return downlinks.relay.report();
        }
    }

    /** A control machine: a replica of the agreed log, and a relay that serves from it. */
    static final class Control extends FanoutNode implements Relay.Source {
        final ChangeLog log;
        final Relay relay;
        private final Downlinks downlinks;
        private final Environment around;

        /** Number of operations of the agreed log that it has applied. */
        int applied;

        private long contactUs;

        Control(Environment around, String name, String region, ChangeLog log, int applied) {
            super(around.time, name, region, region);
            this.around = around;
            this.log = log;
            this.applied = applied;
            contactUs = Long.MIN_VALUE;
            downlinks = new Downlinks(this, around, this);
            relay = downlinks.relay;
        }

        /** Notification from the other replicas of the number of operations agreed so far. */
        void catchUp(List<List<Object>> operations) {
            contactUs = around.time.nowUs();
            boolean changed = applied < operations.size();
            while (applied < operations.size()) {
                ChangeLogOperations.apply(log, operations.get(applied));
                applied++;
            }
            if (changed) {
                downlinks.advanced();
            }
        }

        @Override
        public Replica replica() {
            return log.replica();
        }

        @Override
        public long ageUs(long nowUs) {
            return contactUs == Long.MIN_VALUE ? UNKNOWN_AGE_US : nowUs - contactUs;
        }
    }
}
