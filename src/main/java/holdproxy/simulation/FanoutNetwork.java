package holdproxy.simulation;

import holdproxy.fanout.Message;
import holdproxy.fanout.MessageCodec;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Connections between processes with the semantics of TCP: ordered delivery, and data held up by a
 * partition arrives once it heals if the connection still exists. Only a dedicated fault duplicates
 * or reorders messages.
 */
final class FanoutNetwork {
    private static final long NEAR_US = 300;
    private static final long FAR_US = 30_000;
    private static final double JITTER = 0.5;
    private static final long RETRY_US = 300_000;
    private static final int SCRAMBLED_DELAY_US = 2_000_000;
    private static final double SCRAMBLED_PART = 0.3;

    /** The side that accepts connections. */
    interface Server {
        void received(Connection connection, Message message);

        void closed(Connection connection);
    }

    /** The side that opens connections. */
    interface Client {
        void connected(long link);

        void received(long link, Message message);

        void closed(long link, String reason);
    }

    /** Observes the traffic on behalf of the checkers. */
    interface Observer {
        void sentDown(Connection connection, Message message, int bytes);

        void arrivedUp(Connection connection, Message message, long takenDown);
    }

    /**
     * A message and, upstream, the number of messages from upstream that its sender had consumed; a
     * null message ends the connection.
     */
    private record Item(Message message, long atUs, long takenDown) {}

    /** One direction of a connection. */
    private static final class Pipe {
        final ArrayDeque<Item> queue = new ArrayDeque<>();
        long lastUs;
    }

    /** A connection from a subscriber to a relay or control machine. */
    static final class Connection {
        final long number;
        final FanoutNode clientNode;
        final FanoutNode serverNode;
        private final Client client;
        private final Server server;
        private final long link;
        private final Pipe up = new Pipe();
        private final Pipe down = new Pipe();
        private boolean clientOpen = true;
        private boolean serverOpen = true;
        private long takenDown;

        private Connection(
                long number,
                FanoutNode clientNode,
                Client client,
                long link,
                FanoutNode serverNode,
                Server server) {
            this.number = number;
            this.clientNode = clientNode;
            this.client = client;
            this.link = link;
            this.serverNode = serverNode;
            this.server = server;
        }
    }

    private record Place(FanoutNode node, Server server) {}

    /** A connection as seen by the process that opened it. */
    private record LinkKey(FanoutNode node, long link) {}

    private final SimulatedClock time;
    private final Random random;
    private final MessageCodec codec;
    private final boolean decodes;
    private final Observer observer;
    private final Map<String, Place> servers = new HashMap<>();
    private final Map<FanoutNode, Set<Connection>> connections = new HashMap<>();
    private final Map<LinkKey, Connection> byLink = new HashMap<>();
    private final Set<String> cutRegions = new HashSet<>();
    private final Map<String, Integer> cutOut = new HashMap<>();
    private final Map<String, Integer> cutIn = new HashMap<>();
    private final Set<String> scrambled = new HashSet<>();
    private long numbers;
    private Message lastEncoded;
    private byte[] lastBytes;

    /**
     * {@code decodes}: receivers get what the codec decodes from the bytes instead of the sender's
     * object.
     */
    FanoutNetwork(
            SimulatedClock time,
            Random random,
            MessageCodec codec,
            boolean decodes,
            Observer observer) {
        this.time = time;
        this.random = random;
        this.codec = codec;
        this.decodes = decodes;
        this.observer = observer;
    }

    // ---- faults ----

    void cutRegion(String region, boolean cut) {
        if (cut) {
            cutRegions.add(region);
        } else {
            cutRegions.remove(region);
        }
    }

    /**
     * Cuts one direction of all traffic from or to a process; cuts are counted, {@code by} adds (1)
     * or removes (-1) one.
     */
    void cut(String name, boolean outwards, int by) {
        (outwards ? cutOut : cutIn).merge(name, by, Integer::sum);
    }

    /** Sets whether messages from upstream to this process are duplicated or reordered. */
    void scramble(String name, boolean scrambles) {
        if (scrambles) {
            scrambled.add(name);
        } else {
            scrambled.remove(name);
        }
    }

    boolean reaches(FanoutNode from, FanoutNode to) {
        boolean regionsCut =
                !from.region.equals(to.region)
                        && (cutRegions.contains(from.region) || cutRegions.contains(to.region));
        return !regionsCut
                && cutOut.getOrDefault(from.name, 0) == 0
                && cutIn.getOrDefault(to.name, 0) == 0;
    }

    long delayUs(FanoutNode from, FanoutNode to) {
        long least = from.region.equals(to.region) ? NEAR_US : FAR_US;
        return least + (long) (random.nextDouble() * JITTER * least);
    }

    // ---- processes ----

    /** From now on this process accepts connections under its name. */
    void listen(FanoutNode node, Server server) {
        servers.put(node.name, new Place(node, server));
    }

    /** The process has ended; {@code said}: whether its machine notifies the peers. */
    void ended(FanoutNode node, boolean said) {
        Place place = servers.get(node.name);
        if (place != null && place.node == node) {
            servers.remove(node.name);
        }
        for (Connection each : List.copyOf(connections.getOrDefault(node, Set.of()))) {
            if (said) {
                send(each, each.clientNode == node, null);
            }
        }
        connections.remove(node);
    }

    void dial(FanoutNode from, Client client, long link, String to) {
        Place place = servers.get(to);
        if (place == null) {
            time.schedule(NEAR_US, () -> from.run(() -> client.closed(link, "refused")));
            return;
        }
        long delayUs = 2 * delayUs(from, place.node);
        time.schedule(
                delayUs,
                () -> {
                    if (reaches(from, place.node)
                            && reaches(place.node, from)
                            && !place.node.ended
                            && !from.ended) {
                        open(from, client, link, place);
                    }
                });
    }

    private void open(FanoutNode from, Client client, long link, Place place) {
        Connection connection =
                new Connection(numbers++, from, client, link, place.node, place.server);
        connections.computeIfAbsent(from, n -> new LinkedHashSet<>()).add(connection);
        connections.computeIfAbsent(place.node, n -> new LinkedHashSet<>()).add(connection);
        byLink.put(new LinkKey(from, link), connection);
        from.run(() -> client.connected(link));
    }

    // ---- messages ----

    void sendUp(FanoutNode from, long link, Message message) {
        Connection connection = byLink.get(new LinkKey(from, link));
        if (connection != null && connection.clientOpen) {
            send(connection, true, message);
        }
    }

    void sendDown(Connection connection, Message message) {
        if (connection.serverOpen) {
            observer.sentDown(connection, message, encoded(message).length);
            send(connection, false, message);
        }
    }

    void closeByClient(FanoutNode from, long link) {
        Connection connection = byLink.remove(new LinkKey(from, link));
        if (connection != null && connection.clientOpen) {
            connection.clientOpen = false;
            forget(connection);
            send(connection, true, null);
        }
    }

    void closeByServer(Connection connection) {
        if (connection.serverOpen) {
            connection.serverOpen = false;
            forget(connection);
            send(connection, false, null);
        }
    }

    private void forget(Connection connection) {
        connections.getOrDefault(connection.clientNode, new HashSet<>()).remove(connection);
        connections.getOrDefault(connection.serverNode, new HashSet<>()).remove(connection);
    }

    private void send(Connection connection, boolean up, Message message) {
        FanoutNode from = up ? connection.clientNode : connection.serverNode;
        FanoutNode to = up ? connection.serverNode : connection.clientNode;
        Message carried = decodes && message != null ? codec.decode(encoded(message)) : message;
        Pipe pipe = up ? connection.up : connection.down;
        if (!up
                && message != null
                && scrambled.contains(to.name)
                && scrambles(connection, carried)) {
            return;
        }
        long atUs = Math.max(pipe.lastUs, time.nowUs() + delayUs(from, to));
        pipe.lastUs = atUs;
        pipe.queue.add(new Item(carried, atUs, connection.takenDown));
        if (pipe.queue.size() == 1) {
            time.schedule(atUs - time.nowUs(), () -> deliver(connection, up));
        }
    }

    /** May schedule a late copy; true if that copy replaces the regular delivery (reordering). */
    private boolean scrambles(Connection connection, Message message) {
        double draw = random.nextDouble();
        if (draw < 2 * SCRAMBLED_PART) {
            time.schedule(
                    random.nextInt(SCRAMBLED_DELAY_US),
                    () -> arrive(connection, false, new Item(message, 0, 0)));
        }
        return draw < SCRAMBLED_PART;
    }

    private void deliver(Connection connection, boolean up) {
        FanoutNode from = up ? connection.clientNode : connection.serverNode;
        FanoutNode to = up ? connection.serverNode : connection.clientNode;
        if (!reaches(from, to)) {
            time.schedule(RETRY_US, () -> deliver(connection, up));
            return;
        }
        Pipe pipe = up ? connection.up : connection.down;
        Item item = pipe.queue.poll();
        arrive(connection, up, item);
        Item next = pipe.queue.peek();
        if (next != null) {
            time.schedule(Math.max(0, next.atUs - time.nowUs()), () -> deliver(connection, up));
        }
    }

    private void arrive(Connection connection, boolean up, Item item) {
        FanoutNode to = up ? connection.serverNode : connection.clientNode;
        to.run(() -> take(connection, up, item));
    }

    private void take(Connection connection, boolean up, Item item) {
        if (up ? !connection.serverOpen : !connection.clientOpen) {
            return;
        }
        if (item.message == null) {
            forget(connection);
            if (up) {
                connection.serverOpen = false;
                connection.server.closed(connection);
            } else {
                connection.clientOpen = false;
                byLink.remove(new LinkKey(connection.clientNode, connection.link));
                connection.client.closed(connection.link, "ended");
            }
        } else if (up) {
            observer.arrivedUp(connection, item.message, item.takenDown);
            connection.server.received(connection, item.message);
        } else {
            connection.takenDown++;
            connection.client.received(connection.link, item.message);
        }
    }

    /** Caches the encoding, since the same message is sent to many subscribers. */
    private byte[] encoded(Message message) {
        if (message != lastEncoded) {
            lastBytes = codec.encode(message);
            lastEncoded = message;
        }
        return lastBytes;
    }
}
